package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"jaspersill/lab/faultproxy"
)

// paths are the fault proxies between the ends of a run: every connection of a node goes through one.
type paths struct {
	endpoints [][]*faultproxy.Proxy // by node and endpoint
	discovery []*faultproxy.Proxy   // by node
	clients   []*faultproxy.Proxy   // by node
	peers     []*faultproxy.DatagramProxy
}

// openPaths opens a proxy for each pair of ends. Clients reach nodes, and nodes reach all else, only through them.
func (r *run) openPaths() error {
	seed := r.options.Seed
	for node, p := range r.processes {
		clients, err := faultproxy.Listen(loopback(seed, node), p.listen, seed*1000+uint64(node))
		if err != nil {
			return err
		}
		r.paths.clients = append(r.paths.clients, clients)
	}
	return nil
}

// openPathsOfNode opens the proxies that a node reaches the endpoints, discovery and its peers through.
func (r *run) openPathsOfNode(node int, discovery string) error {
	seed := r.options.Seed*1000 + uint64(node)
	toDiscovery, err := faultproxy.Listen("127.0.0.1:0", discovery, seed+500)
	if err != nil {
		return err
	}
	r.paths.discovery = append(r.paths.discovery, toDiscovery)
	var list []*faultproxy.Proxy
	for _, e := range r.endpoints {
		proxy, err := faultproxy.Listen("127.0.0.1:0", e.address(), seed*100+uint64(e.number))
		if err != nil {
			return err
		}
		list = append(list, proxy)
		e.paths = append(e.paths, proxy)
	}
	r.paths.endpoints = append(r.paths.endpoints, list)
	datagrams, err := faultproxy.ListenDatagrams(seed)
	if err != nil {
		return err
	}
	r.paths.peers = append(r.paths.peers, datagrams)
	return nil
}

// joinPeers has the datagrams of each node reach all the others.
func (r *run) joinPeers() error {
	for node, datagrams := range r.paths.peers {
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

// proxies are all proxies of connections.
func (p *paths) proxies() []*faultproxy.Proxy {
	return slices.Concat(append([][]*faultproxy.Proxy{p.discovery, p.clients}, p.endpoints...)...)
}

// struck is how many pieces were disturbed.
func (p *paths) struck() (total int) {
	for _, proxy := range p.proxies() {
		total += proxy.FaultCount()
	}
	return total
}

func (p *paths) close() {
	for _, proxy := range p.proxies() {
		proxy.Close()
	}
	for _, datagrams := range p.peers {
		datagrams.Close()
	}
}

// loopback is an address of the loopback network that belongs to one node of a run, with any port.
func loopback(seed uint64, node int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+seed%250, node/200+1, node%200+1)
}

// delays are the ranges from which the delay of a repeated answer is drawn for a run.
var delays = []struct{ least, most time.Duration }{
	{0, 0}, // in the same segment
	{time.Millisecond, 15 * time.Millisecond},
	{2 * time.Millisecond, 40 * time.Millisecond},
	{30 * time.Millisecond, 60 * time.Millisecond},
	{200 * time.Millisecond, 600 * time.Millisecond},
	{time.Millisecond, time.Second},
}

const (
	repeatedShare     = 0.3 // of the answers
	usualRefusedShare = 0.05
	steadyAnswerLeast = 56 * time.Millisecond
	steadyAnswerRange = 48 * time.Millisecond
)

// drawRepeats draws a run in which nothing but repeated answers goes wrong: of endpoints, or of the platform to
// notices, of which the next on that connection is then lost.
func (p *plan) drawRepeats(nodes int, notices bool) {
	delay := delays[p.random.IntN(len(delays))]
	share := repeatedShare * (0.2 + 0.8*p.random.Float64())
	p.endpointsOfDestination = 2 + p.random.IntN(2)
	p.steady = true
	if notices {
		p.refusals = 0.6
	}
	p.add(0, func(_ context.Context, r *run) {
		r.ledger.did("%.0f of 100 answers come twice, after %v to %v; to notices: %v", 100*share, delay.least, delay.most, notices)
		for node := range nodes {
			if notices {
				r.paths.discovery[node].Add(faultproxy.Fault{Kind: faultproxy.Repeat, Direction: faultproxy.Responses, Probability: share,
					MinDelay: 2 * time.Millisecond, MaxDelay: 10 * time.Millisecond})
				r.paths.discovery[node].Add(faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.Requests, Probability: share, FirstChunk: 2})
				continue
			}
			for _, proxy := range r.paths.endpoints[node] {
				proxy.Add(faultproxy.Fault{Kind: faultproxy.Repeat, Direction: faultproxy.Responses, Probability: share, MinDelay: delay.least,
					MaxDelay: delay.most})
			}
		}
	})
}

// pathKinds are the faults of a path by its direction. A request that a path repeats or alters on its way to an endpoint
// has effects that no node can answer for, and an answer that a path repeats on its way to a client misleads the client:
// these are left out.
var pathKinds = map[string][]faultproxy.Kind{
	pathEndpointRequests: {faultproxy.Hold, faultproxy.Split, faultproxy.Merge, faultproxy.Truncate, faultproxy.Drip,
		faultproxy.Reset, faultproxy.HalfClose},
	pathEndpointAnswers: faultproxy.Kinds(),
	pathDiscovery: {faultproxy.Repeat, faultproxy.Hold, faultproxy.Split, faultproxy.Merge, faultproxy.Truncate, faultproxy.Drip,
		faultproxy.Reset, faultproxy.HalfClose},
	pathClientRequests: {faultproxy.Repeat, faultproxy.Hold, faultproxy.Split, faultproxy.Drip, faultproxy.Truncate, faultproxy.Reset},
	pathClientAnswers:  {faultproxy.Hold, faultproxy.Split, faultproxy.Drip, faultproxy.Truncate, faultproxy.Reset},
}

const (
	pathEndpointRequests = "requests to endpoints"
	pathEndpointAnswers  = "answers of endpoints"
	pathDiscovery        = "the platform"
	pathClientRequests   = "requests of clients"
	pathClientAnswers    = "answers to clients"
)

// drawPaths draws faults of the bytes between all ends, each for a time.
func (p *plan) drawPaths(nodes int) {
	for node := range nodes {
		for range 1 + p.random.IntN(3) {
			p.drawPath(node)
		}
	}
	if p.random.IntN(2) == 0 {
		share, most := 0.1+0.4*p.random.Float64(), p.moment(2*time.Second)
		p.add(0, func(_ context.Context, r *run) {
			r.ledger.did("%.0f of 100 datagrams are dropped, as many repeated, delays up to %v", 100*share, most)
			for _, datagrams := range r.paths.peers {
				datagrams.SetFaults(share, most)
			}
		})
	}
}

func (p *plan) drawPath(node int) {
	names := []string{pathEndpointAnswers, pathEndpointAnswers, pathEndpointRequests, pathDiscovery, pathDiscovery,
		pathClientRequests, pathClientAnswers}
	name := names[p.random.IntN(len(names))]
	kinds := pathKinds[name]
	at, long := p.moment(p.length*3/4), 200*time.Millisecond+p.moment(2*time.Second)
	delay := delays[p.random.IntN(len(delays))]
	fault := faultproxy.Fault{Kind: kinds[p.random.IntN(len(kinds))], Probability: 0.05 + 0.4*p.random.Float64(), MinDelay: delay.least,
		MaxDelay: delay.most}
	answers := p.random.IntN(2) == 0
	p.add(at, func(_ context.Context, r *run) {
		fault.Until = time.Now().Add(long)
		r.ledger.did("node %d: %s: %s for %v, share %.2f, delay %v to %v", node, name, fault.Kind, long.Round(time.Millisecond),
			fault.Probability, fault.MinDelay, fault.MaxDelay)
		switch name {
		case pathEndpointAnswers, pathEndpointRequests:
			fault.Direction = directionOf(name == pathEndpointAnswers)
			for _, proxy := range r.paths.endpoints[node] {
				proxy.Add(fault)
			}
		case pathDiscovery:
			fault.Direction = directionOf(answers)
			r.ledger.disturbsPlatform(node, long+fault.MaxDelay)
			r.paths.discovery[node].Add(fault)
		default:
			fault.Direction = directionOf(name == pathClientAnswers)
			r.paths.clients[node].Add(fault)
		}
	})
}

func directionOf(answers bool) faultproxy.Direction {
	if answers {
		return faultproxy.Responses
	}
	return faultproxy.Requests
}
