package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

const maxBody = 1 << 20

func readAll(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// encode encodes a message of a stand-in, which always can be encoded.
func encode(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return body
}

func reply(w http.ResponseWriter, status int, answer any) {
	var body []byte
	if answer != nil {
		body = encode(answer)
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// serveOn serves a handler on a free port of the loopback address and returns the address.
func serveOn(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// freeAddress returns an address of the loopback host with a free port.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
