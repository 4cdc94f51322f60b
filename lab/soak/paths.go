package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"jaspersill/lab/faultproxy"
)

// network holds the fault proxies of a run. Except for the idle connections of crowded nodes and the readiness and
// metrics requests, all network traffic of a node passes through them.
type network struct {
	endpoints [][]*faultproxy.Proxy       // by node and endpoint
	discovery []*faultproxy.Proxy         // by node
	clients   []*faultproxy.Proxy         // by node
	peers     []*faultproxy.DatagramProxy // by sending node
}

// openClientProxies opens the proxies through which clients reach the nodes.
func (r *run) openClientProxies() error {
	seed := r.options.Seed
	for node, p := range r.processes {
		clients, err := faultproxy.Listen(loopbackAddress(seed, node), p.listen, seed*1000+uint64(node))
		if err != nil {
			return err
		}
		r.network.clients = append(r.network.clients, clients)
	}
	return nil
}

// openNodeProxies opens the proxies through which a node reaches the endpoints, discovery and its peers.
func (r *run) openNodeProxies(node int, discovery string) error {
	seed := r.options.Seed*1000 + uint64(node)
	toDiscovery, err := faultproxy.Listen("127.0.0.1:0", discovery, seed+500)
	if err != nil {
		return err
	}
	r.network.discovery = append(r.network.discovery, toDiscovery)
	var list []*faultproxy.Proxy
	for _, e := range r.endpoints {
		proxy, err := faultproxy.Listen("127.0.0.1:0", e.address(), seed*100+uint64(e.number))
		if err != nil {
			return err
		}
		list = append(list, proxy)
		e.proxies = append(e.proxies, proxy)
	}
	r.network.endpoints = append(r.network.endpoints, list)
	datagrams, err := faultproxy.ListenDatagrams(seed)
	if err != nil {
		return err
	}
	r.network.peers = append(r.network.peers, datagrams)
	return nil
}

// connectPeers makes each node's datagrams go to all other nodes.
func (r *run) connectPeers() error {
	for node, datagrams := range r.network.peers {
		var others []*net.UDPAddr
		for number, p := range r.processes {
			if number == node {
				continue
			}
			address, err := net.ResolveUDPAddr("udp", p.peerListen)
			if err != nil {
				return err
			}
			others = append(others, address)
		}
		datagrams.SetReceivers(others)
	}
	return nil
}

// proxies returns all TCP proxies.
func (n *network) proxies() []*faultproxy.Proxy {
	return slices.Concat(append([][]*faultproxy.Proxy{n.discovery, n.clients}, n.endpoints...)...)
}

// faultCount returns how many chunks of TCP connections had a fault injected.
func (n *network) faultCount() (total int) {
	for _, proxy := range n.proxies() {
		total += proxy.FaultCount()
	}
	return total
}

func (n *network) close() {
	for _, proxy := range n.proxies() {
		proxy.Close()
	}
	for _, datagrams := range n.peers {
		datagrams.Close()
	}
}

// loopbackAddress returns an address in 127.0.0.0/8 that belongs to one node of a run, with port 0.
func loopbackAddress(seed uint64, node int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+seed%250, node/200+1, node%200+1)
}

// delayRanges are the ranges from which the delays of network faults are drawn.
var delayRanges = []struct{ minimum, maximum time.Duration }{
	{0, 0}, // a repeated chunk follows in the same write
	{time.Millisecond, 15 * time.Millisecond},
	{2 * time.Millisecond, 40 * time.Millisecond},
	{30 * time.Millisecond, 60 * time.Millisecond},
	{200 * time.Millisecond, 600 * time.Millisecond},
	{time.Millisecond, time.Second},
}

const (
	maxRepeatRate        = 0.3 // share of the responses
	defaultRefusalRate   = 0.05
	remoteResponseDelay  = 56 * time.Millisecond
	remoteResponseJitter = 48 * time.Millisecond
)

// addRepeatedResponses adds repeated responses, of endpoints or of the platform to notices, as the only faults of a
// run. With notices, connections to the platform are also reset on requests after the first, so that a notice may be
// lost behind a response that was repeated.
func (p *plan) addRepeatedResponses(nodes int, notices bool) {
	delay := delayRanges[p.random.IntN(len(delayRanges))]
	probability := maxRepeatRate * (0.2 + 0.8*p.random.Float64())
	p.endpointsPerDestination = 2 + p.random.IntN(2)
	p.remote = true
	if notices {
		p.refusalRate = 0.6
	}
	p.addStep(0, func(_ context.Context, r *run) {
		r.history.logAction("%.0f %% of the responses are repeated after %v to %v; to notices: %v", 100*probability,
			delay.minimum, delay.maximum, notices)
		for node := range nodes {
			if notices {
				r.network.discovery[node].Add(faultproxy.Fault{Kind: faultproxy.Repeat, Direction: faultproxy.Responses,
					Probability: probability, MinDelay: 2 * time.Millisecond, MaxDelay: 10 * time.Millisecond})
				r.network.discovery[node].Add(faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.Requests,
					Probability: probability, FirstChunk: 2})
				continue
			}
			for _, proxy := range r.network.endpoints[node] {
				proxy.Add(faultproxy.Fault{Kind: faultproxy.Repeat, Direction: faultproxy.Responses, Probability: probability,
					MinDelay: delay.minimum, MaxDelay: delay.maximum})
			}
		}
	})
}

// pathFaults are the kinds of faults for each path. Repeated or altered requests to endpoints are left out, because no
// node can prevent their effects; so are repeated or altered responses to clients, because they mislead the client.
var pathFaults = map[string][]faultproxy.Kind{
	pathEndpointRequests: {faultproxy.Hold, faultproxy.Split, faultproxy.Merge, faultproxy.Truncate, faultproxy.Drip,
		faultproxy.Reset, faultproxy.HalfClose},
	pathEndpointResponses: faultproxy.Kinds(),
	pathDiscovery: {faultproxy.Repeat, faultproxy.Hold, faultproxy.Split, faultproxy.Merge, faultproxy.Truncate, faultproxy.Drip,
		faultproxy.Reset, faultproxy.HalfClose},
	pathClientRequests:  {faultproxy.Repeat, faultproxy.Hold, faultproxy.Split, faultproxy.Drip, faultproxy.Truncate, faultproxy.Reset},
	pathClientResponses: {faultproxy.Hold, faultproxy.Split, faultproxy.Drip, faultproxy.Truncate, faultproxy.Reset},
}

const (
	pathEndpointRequests  = "requests to endpoints"
	pathEndpointResponses = "responses of endpoints"
	pathDiscovery         = "the platform"
	pathClientRequests    = "requests of clients"
	pathClientResponses   = "responses to clients"
)

// addPathFaults draws temporary faults of the network connections, and perhaps faults of the peers' datagrams.
func (p *plan) addPathFaults(nodes int) {
	for node := range nodes {
		for range 1 + p.random.IntN(3) {
			p.addPathFault(node)
		}
	}
	if p.random.IntN(2) == 0 {
		probability, maxDelay := 0.1+0.4*p.random.Float64(), p.randomDuration(2*time.Second)
		p.addStep(0, func(_ context.Context, r *run) {
			r.history.logAction("%.0f %% of the datagrams are dropped, as many repeated, delays up to %v", 100*probability, maxDelay)
			for _, datagrams := range r.network.peers {
				datagrams.SetFaults(probability, maxDelay)
			}
		})
	}
}

func (p *plan) addPathFault(node int) {
	paths := []string{pathEndpointResponses, pathEndpointResponses, pathEndpointRequests, pathDiscovery, pathDiscovery,
		pathClientRequests, pathClientResponses}
	path := paths[p.random.IntN(len(paths))]
	kinds := pathFaults[path]
	at, duration := p.randomDuration(p.length*3/4), 200*time.Millisecond+p.randomDuration(2*time.Second)
	delay := delayRanges[p.random.IntN(len(delayRanges))]
	fault := faultproxy.Fault{Kind: kinds[p.random.IntN(len(kinds))], Probability: 0.05 + 0.4*p.random.Float64(),
		MinDelay: delay.minimum, MaxDelay: delay.maximum}
	responses := p.random.IntN(2) == 0
	p.addStep(at, func(_ context.Context, r *run) {
		fault.Until = time.Now().Add(duration)
		r.history.logAction("node %d: %s: %s for %v, probability %.2f, delay %v to %v", node, path, fault.Kind,
			duration.Round(time.Millisecond), fault.Probability, fault.MinDelay, fault.MaxDelay)
		switch path {
		case pathEndpointResponses, pathEndpointRequests:
			fault.Direction = directionOf(path == pathEndpointResponses)
			for _, proxy := range r.network.endpoints[node] {
				proxy.Add(fault)
			}
		case pathDiscovery:
			fault.Direction = directionOf(responses)
			r.history.recordPlatformFault(node, duration+fault.MaxDelay)
			r.network.discovery[node].Add(fault)
		default:
			fault.Direction = directionOf(path == pathClientResponses)
			r.network.clients[node].Add(fault)
		}
	})
}

func directionOf(responses bool) faultproxy.Direction {
	if responses {
		return faultproxy.Responses
	}
	return faultproxy.Requests
}
