package node

import (
	"net"
	"sync/atomic"
	"time"

	"jaspersill/delivery"
	"jaspersill/errclass"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/peermsg"
)

// peerMessenger exchanges messages about healthy endpoints with the other delivery nodes. The messages are UDP datagrams,
// which may be delayed, duplicated, reordered or lost.
type peerMessenger struct {
	conn          *net.UDPConn
	broadcastAddr *net.UDPAddr
	peerIndex     map[string]int // by the peer's address
	decisions     *decisionLoop

	incarnation  uint64 // sent with each datagram, so that peers can order them across restarts
	sequence     atomic.Uint32
	lastReceived map[int]receivedDatagram // by peer; owned by the goroutine that runs receive
}

// receivedDatagram is the position of a peer's latest datagram and the time it was received.
type receivedDatagram struct {
	sequence   peermsg.Sequence
	receivedAt time.Time
}

// maxDatagramDelay is the longest time that a datagram may spend in the network. If a peer seems to run an older process
// than before after a longer silence, its clock was set back.
const maxDatagramDelay = 10 * time.Second

var lateDatagrams = metrics.NewCounter("jaspersill_late_peer_datagrams_total",
	"Datagrams of peers that came again, or behind a later one.")

func newPeerMessenger(address, broadcast string, peers []string, self int, d *decisionLoop,
	timeOfDay int64) (*peerMessenger, error) {
	p := &peerMessenger{peerIndex: make(map[string]int), decisions: d, incarnation: uint64(timeOfDay),
		lastReceived: make(map[int]receivedDatagram)}
	if address == "" || broadcast == "" {
		return p, nil // peer messages are not configured
	}
	for i, address := range peers {
		if i != self { // a node receives its own datagrams too
			p.peerIndex[address] = i
		}
	}
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if p.broadcastAddr, err = net.ResolveUDPAddr("udp", broadcast); err != nil {
		return nil, err
	}
	p.conn, err = openSocket(func() (*net.UDPConn, error) { return net.ListenUDP("udp", local) })
	return p, err
}

// receive passes the messages of peers to the scheduler until the socket closes.
func (p *peerMessenger) receive() {
	if p.conn == nil {
		return
	}
	var buf [peermsg.MaxSize + 1]byte
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if errclass.Socket(err) == errclass.Closed {
				return
			}
			time.Sleep(maxRetryPause) // a peer's port is closed while it restarts, or this machine is short of a resource
			continue
		}
		peer, known := p.peerIndex[from.String()]
		host, sentAgo, sequence, ok := peermsg.DecodeHealthyHost(buf[:size])
		if !known || !ok { // a stray datagram must not mark an endpoint as healthy
			continue
		}
		if !p.isNewer(peer, sequence, time.Now()) { // nor must one that was sent before the endpoint's last outage
			lateDatagrams.Inc()
			continue
		}
		sentAt := p.decisions.clock.now() - int64(sentAgo)
		p.decisions.enqueue(func(to delivery.Handler) {
			if ep, listed := p.decisions.registry.lookup(host); listed {
				to.PeerReportedHealthy(peer, ep, p.decisions.clock.now()-sentAt)
			}
		})
	}
}

// isNewer reports whether a datagram is later than all others received from its peer, and records it if so.
func (p *peerMessenger) isNewer(peer int, sequence peermsg.Sequence, now time.Time) bool {
	newest, known := p.lastReceived[peer]
	if known && !sequence.After(newest.sequence) &&
		(sequence.Incarnation == newest.sequence.Incarnation || now.Sub(newest.receivedAt) < maxDatagramDelay) {
		return false
	}
	p.lastReceived[peer] = receivedDatagram{sequence, now}
	return true
}

// announceHealthy tells all peers that an endpoint answered a call that was sent this long ago.
func (p *peerMessenger) announceHealthy(host string, sentAgo time.Duration) {
	data := peermsg.EncodeHealthyHost(host, sentAgo, peermsg.Sequence{Incarnation: p.incarnation, Number: p.sequence.Add(1)})
	if p.conn == nil || len(data) > peermsg.MaxSize {
		return
	}
	if _, err := p.conn.WriteToUDP(data, p.broadcastAddr); err != nil {
		logs.Part("peers").WithError(err).Debug("failed to send a peer datagram")
	}
}

func (p *peerMessenger) close() {
	if p.conn != nil {
		p.conn.Close()
	}
}
