package scalerun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Ports of a region, as offsets from its first port.
const (
	portState = iota
	portCloud
	portWorkers
	portClients // of the controllers, each on its own address: see controllerHost
	portPeers   // of the controllers, each on its own address: see controllerHost
	// firstRegionOctet is the second octet of region 0's loopback addresses; each further region uses the next one.
	firstRegionOctet = 16
)

// workerAddress returns the address of a region's n-th worker; each worker has a separate loopback address.
func (p *Plan) workerAddress(region, n int) string {
	const hostsPerOctet = 250
	return fmt.Sprintf("127.%d.%d.%d:%d", firstRegionOctet+region, n/hostsPerOctet, n%hostsPerOctet+1, p.port(region, portWorkers))
}

// controllerHost returns the loopback address of a region's n-th controller.
func controllerHost(region, n int) string {
	return fmt.Sprintf("127.%d.255.%d", firstRegionOctet+region, n+1)
}

// response is an HTTP response of an emulated server.
type response struct {
	status int
	body   []byte
}

// Limits of the emulated servers.
const (
	serverReadTimeout    = 2 * time.Minute
	serverIdleTimeout    = 10 * time.Minute
	serverMaxHeaderBytes = 8 << 10
)

// startServers starts the servers of the emulated state service, cloud and workers. It closes them when the context
// ends.
func (r *region) startServers(ctx context.Context) error {
	listen := func(addr string, handler http.Handler) error {
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadTimeout: serverReadTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: serverMaxHeaderBytes}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				r.fail(fmt.Errorf("emulated server on %s: %w", addr, err))
			}
		}()
		r.listeners.Add(1)
		context.AfterFunc(ctx, func() {
			closeQuietly(server)
			r.listeners.Done()
		})
		return nil
	}
	if err := listen(fmt.Sprintf("127.0.0.1:%d", r.plan.port(r.number, portState)), r.handle(r.serveState)); err != nil {
		return err
	}
	if err := listen(fmt.Sprintf("127.0.0.1:%d", r.plan.port(r.number, portCloud)), r.handle(r.serveCloud)); err != nil {
		return err
	}
	// One listener accepts the connections to all workers' addresses. serveWorker rejects requests to addresses outside
	// the loopback network.
	return listen(fmt.Sprintf(":%d", r.plan.port(r.number, portWorkers)), r.handle(r.serveWorker))
}

// handle returns a handler that calls serve on the event loop and writes its reply.
func (r *region) handle(serve func(request *http.Request, body []byte, reply emulator.Reply)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, 2*protocol.MaxBodyBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		responses := make(chan response, 1)
		r.loop.post(func() {
			serve(request, body, func(status int, body []byte) { responses <- response{status, body} })
		})
		select {
		case a := <-responses:
			w.Header().Set("Content-Type", "application/msgpack")
			w.WriteHeader(a.status)
			_, _ = w.Write(a.body) // fails if the client has closed the connection
		case <-request.Context().Done():
		case <-r.loop.stopped:
		}
	})
}

// serveState serves a request to the state service and replies after the plan's latency.
func (r *region) serveState(request *http.Request, body []byte, reply emulator.Reply) {
	if r.soak != nil {
		r.soak.serveState(stateClient(request.RemoteAddr), request, body, reply)
		return
	}
	r.state.Serve(stateClient(request.RemoteAddr), request.Method, request.URL.RequestURI(), body, func(status int, body []byte) {
		r.loop.queue.After(seconds(r.plan.State.LatencyMS/millisPerSecond), func() { reply(status, body) })
	})
}

// serveCloud serves a request to the cloud.
func (r *region) serveCloud(request *http.Request, body []byte, reply emulator.Reply) {
	reply(r.cloud.Serve(request.Method, request.URL.RequestURI(), body))
}

// serveWorker serves a direct request to the worker with the request's destination address. It sends no reply if there
// is no such worker or the worker is unreachable.
func (r *region) serveWorker(request *http.Request, body []byte, reply emulator.Reply) {
	local, _ := request.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if local == nil || !local.IP.IsLoopback() {
		reply(http.StatusForbidden, nil)
		return
	}
	worker := r.workersByAddress[local.String()]
	if worker == nil || !worker.Reachable() {
		return
	}
	r.metrics.directMessage(len(body))
	if r.soak != nil && (r.soak.losesCommand(body) || r.soak.delaysCommand(worker, request.URL.Path, body)) {
		return
	}
	worker.Serve(request.URL.Path, body, func(status int, answer []byte) {
		r.metrics.directMessage(len(answer))
		reply(status, answer)
	})
}
