package scalerun

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
)

// Octets of a region's loopback network that hold the addresses of its links.
const (
	controllerOctet  = 255
	peerLinkOctet    = 254
	serviceLinkOctet = 253
)

// Ports of the links, as offsets from a region's first port. Links to the state service and the cloud use the ports of
// these services, on addresses of their own.
const (
	portUserLinks = iota + 5
	portWorkerLinks
	portPeerLinks
)

// maxLinkedControllers is the number of controllers of a region with links: each pair of them has an address.
const maxLinkedControllers = 15

// links are the links of one region's controllers, by the controller's number.
type links struct {
	users, workers, state, cloud []*link
	// peers holds the links from a controller to each other one; the link to itself is nil.
	peers [][]*link
}

// linkHost returns a loopback address of a region.
func linkHost(region, octet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstRegionOctet+region, octet, n)
}

// userAddress returns the address on which users and the load balancer reach a region's i-th controller.
func (p *Plan) userAddress(region, i int) string {
	return p.linkedAddress(p.clientAddress(region, i), linkHost(region, controllerOctet, i+1), region, portUserLinks)
}

// workerLinkAddress returns the address on which workers reach a region's i-th controller.
func (p *Plan) workerLinkAddress(region, i int) string {
	return p.linkedAddress(p.clientAddress(region, i), linkHost(region, controllerOctet, i+1), region, portWorkerLinks)
}

// peerAddressFrom returns the address on which a region's controller i reaches controller j.
func (p *Plan) peerAddressFrom(region, i, j int) string {
	return p.linkedAddress(p.peerAddress(region, j), linkHost(region, peerLinkOctet, i*(maxLinkedControllers+1)+j+1), region, portPeerLinks)
}

// serviceAddressFrom returns the address on which a region's i-th controller reaches the service with a port.
func (p *Plan) serviceAddressFrom(region, i, port int) string {
	return p.linkedAddress(fmt.Sprintf("127.0.0.1:%d", p.port(region, port)), linkHost(region, serviceLinkOctet, i+1), region, port)
}

// linkedAddress returns the address of a link, or the direct address if the plan has no links.
func (p *Plan) linkedAddress(direct, host string, region, port int) string {
	if !p.Run.Links {
		return direct
	}
	return net.JoinHostPort(host, strconv.Itoa(p.port(region, port)))
}

// startLinks starts the links of a region. They end with the context; listeners counts them until then.
func startLinks(ctx context.Context, p *Plan, region int, listeners *sync.WaitGroup) (*links, error) {
	n := p.Control.Controllers
	all := &links{peers: make([][]*link, n)}
	var err error
	start := func(address, target string, source net.IP) *link {
		l := newLink(address, target, source)
		if runErr := l.run(ctx, listeners); runErr != nil && err == nil {
			err = runErr
		}
		return l
	}
	for i := range n {
		source := net.ParseIP(linkHost(region, serviceLinkOctet, i+1))
		all.users = append(all.users, start(p.userAddress(region, i), p.clientAddress(region, i), nil))
		all.workers = append(all.workers, start(p.workerLinkAddress(region, i), p.clientAddress(region, i), nil))
		all.state = append(all.state, start(p.serviceAddressFrom(region, i, portState), fmt.Sprintf("127.0.0.1:%d", p.port(region, portState)), source))
		all.cloud = append(all.cloud, start(p.serviceAddressFrom(region, i, portCloud), fmt.Sprintf("127.0.0.1:%d", p.port(region, portCloud)), source))
		all.peers[i] = make([]*link, n)
		for j := range n {
			if j != i {
				all.peers[i][j] = start(p.peerAddressFrom(region, i, j), p.peerAddress(region, j), nil)
			}
		}
	}
	return all, err
}

// stateClient returns the number of the controller that a request to the state service came from, by the address of its
// link, or 0.
func stateClient(remoteAddr string) int {
	host, _, err := net.SplitHostPort(remoteAddr)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil || ip[2] != serviceLinkOctet {
		return 0
	}
	return int(ip[3]) - 1
}
