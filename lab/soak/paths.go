package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"jaspersill/lab/faultproxy"
)

// network are the fault proxies between the ends of a run: every connection of a node goes through one.
type network struct {
	endpoints [][]*faultproxy.Proxy // by node and endpoint
	discovery []*faultproxy.Proxy   // by node
	clients   []*faultproxy.Proxy   // by node
	peers     []*faultproxy.DatagramProxy
}

// openClientProxies opens a proxy for each pair of ends. Clients reach nodes, and nodes reach all else, only through them.
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

// openNodeProxies opens the proxies that a node reaches the endpoints, discovery and its peers through.
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

// connectPeers has the datagrams of each node reach all the others.
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

// proxies are all proxies of connections.
func (p *network) proxies() []*faultproxy.Proxy {
	return slices.Concat(append([][]*faultproxy.Proxy{p.discovery, p.clients}, p.endpoints...)...)
}

// faultCount is how many pieces were disturbed.
func (p *network) faultCount() (total int) {
	for _, proxy := range p.proxies() {
		total += proxy.FaultCount()
	}
	return total
}

func (p *network) close() {
	for _, proxy := range p.proxies() {
		proxy.Close()
	}
	for _, datagrams := range p.peers {
		datagrams.Close()
	}
}

// loopbackAddress is an address of the loopbackAddress network that belongs to one node of a run, with any port.
func loopbackAddress(seed uint64, node int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+seed%250, node/200+1, node%200+1)
}

// delayRanges are the ranges from which the delay of a repeated answer is drawn for a run.
var delayRanges = []struct{ least, most time.Duration }{
	{0, 0}, // in the same segment
	{time.Millisecond, 15 * time.Millisecond},
	{2 * time.Millisecond, 40 * time.Millisecond},
	{30 * time.Millisecond, 60 * time.Millisecond},
	{200 * time.Millisecond, 600 * time.Millisecond},
	{time.Millisecond, time.Second},
}

const (
	maxRepeatRate        = 0.3 // of the answers
	defaultRefusalRate   = 0.05
	remoteResponseDelay  = 56 * time.Millisecond
	remoteResponseJitter = 48 * time.Millisecond
)

// addRepeatedResponses draws a run in which nothing but repeated answers goes wrong: of endpoints, or of the platform to
// notices, of which the next on that connection is then lost.
func (p *plan) addRepeatedResponses(nodes int, notices bool) {
	delay := delayRanges[p.random.IntN(len(delayRanges))]
	share := maxRepeatRate * (0.2 + 0.8*p.random.Float64())
	p.endpointsPerDestination = 2 + p.random.IntN(2)
	p.remote = true
	if notices {
		p.refusalRate = 0.6
	}
	p.addStep(0, func(_ context.Context, r *run) {
		r.history.logAction("%.0f of 100 answers come twice, after %v to %v; to notices: %v", 100*share, delay.least, delay.most, notices)
		for node := range nodes {
			if notices {
				r.network.discovery[node].Add(faultproxy.Fault{Kind: faultproxy.Repeat, Direction: faultproxy.Responses, Probability: share,
					MinDelay: 2 * time.Millisecond, MaxDelay: 10 * time.Millisecond})
				r.network.discovery[node].Add(faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.Requests, Probability: share, FirstChunk: 2})
				continue
			}
			for _, proxy := range r.network.endpoints[node] {
				proxy.Add(faultproxy.Fault{Kind: faultproxy.Repeat, Direction: faultproxy.Responses, Probability: share, MinDelay: delay.least,
					MaxDelay: delay.most})
			}
		}
	})
}

// pathFaults are the faults of a path by its direction. A request that a path repeats or alters on its way to an endpoint
// has effects that no node can answer for, and an answer that a path repeats on its way to a client misleads the client:
// these are left out.
var pathFaults = map[string][]faultproxy.Kind{
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

// addPathFaults draws faults of the bytes between all ends, each for a time.
func (p *plan) addPathFaults(nodes int) {
	for node := range nodes {
		for range 1 + p.random.IntN(3) {
			p.addPathFault(node)
		}
	}
	if p.random.IntN(2) == 0 {
		share, most := 0.1+0.4*p.random.Float64(), p.randomDuration(2*time.Second)
		p.addStep(0, func(_ context.Context, r *run) {
			r.history.logAction("%.0f of 100 datagrams are dropped, as many repeated, delays up to %v", 100*share, most)
			for _, datagrams := range r.network.peers {
				datagrams.SetFaults(share, most)
			}
		})
	}
}

func (p *plan) addPathFault(node int) {
	names := []string{pathEndpointAnswers, pathEndpointAnswers, pathEndpointRequests, pathDiscovery, pathDiscovery,
		pathClientRequests, pathClientAnswers}
	name := names[p.random.IntN(len(names))]
	kinds := pathFaults[name]
	at, long := p.randomDuration(p.length*3/4), 200*time.Millisecond+p.randomDuration(2*time.Second)
	delay := delayRanges[p.random.IntN(len(delayRanges))]
	fault := faultproxy.Fault{Kind: kinds[p.random.IntN(len(kinds))], Probability: 0.05 + 0.4*p.random.Float64(), MinDelay: delay.least,
		MaxDelay: delay.most}
	answers := p.random.IntN(2) == 0
	p.addStep(at, func(_ context.Context, r *run) {
		fault.Until = time.Now().Add(long)
		r.history.logAction("node %d: %s: %s for %v, share %.2f, delay %v to %v", node, name, fault.Kind, long.Round(time.Millisecond),
			fault.Probability, fault.MinDelay, fault.MaxDelay)
		switch name {
		case pathEndpointAnswers, pathEndpointRequests:
			fault.Direction = directionOf(name == pathEndpointAnswers)
			for _, proxy := range r.network.endpoints[node] {
				proxy.Add(fault)
			}
		case pathDiscovery:
			fault.Direction = directionOf(answers)
			r.history.recordPlatformFault(node, long+fault.MaxDelay)
			r.network.discovery[node].Add(fault)
		default:
			fault.Direction = directionOf(name == pathClientAnswers)
			r.network.clients[node].Add(fault)
		}
	})
}

func directionOf(answers bool) faultproxy.Direction {
	if answers {
		return faultproxy.Responses
	}
	return faultproxy.Requests
}
