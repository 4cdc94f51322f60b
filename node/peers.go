package node

import (
	"net"
	"sync/atomic"
	"time"

	"jaspersill/delivery"
	"jaspersill/errclass"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/note"
)

// peerMessenger trades notes with the other delivery nodes, by datagrams that may come late or never.
type peerMessenger struct {
	conn          *net.UDPConn
	broadcastAddr *net.UDPAddr
	peerIndex     map[string]int // of each peer, by its address
	desk          *decisionLoop

	processStart uint64 // that this process sends under
	sequence     atomic.Uint32
	lastReceived map[int]receivedDatagram // by peer; of the goroutine that hears
}

// receivedDatagram is the newest datagram of a peer, and when it came.
type receivedDatagram struct {
	order      note.Order
	receivedAt time.Time
}

// maxDatagramDelay is how long a datagram may be on its way. A peer whose process seems older than the one before, after a longer
// silence, has had its clock set back.
const maxDatagramDelay = 10 * time.Second

var lateDatagrams = metrics.New("jaspersill_late_peer_datagrams_total", "Datagrams of peers that came again, or behind a later one.")

func newPeerMessenger(address, all string, list []string, me int, d *decisionLoop, day int64) (*peerMessenger, error) {
	p := &peerMessenger{peerIndex: make(map[string]int), desk: d, processStart: uint64(day), lastReceived: make(map[int]receivedDatagram)}
	if address == "" || all == "" {
		return p, nil // the deployment has no notes
	}
	for i, address := range list {
		if i != me { // its own notes come back to it
			p.peerIndex[address] = i
		}
	}
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if p.broadcastAddr, err = net.ResolveUDPAddr("udp", all); err != nil {
		return nil, err
	}
	p.conn, err = openSocket(func() (*net.UDPConn, error) { return net.ListenUDP("udp", at) })
	return p, err
}

// receive hands in what peers tell until the socket closes.
func (p *peerMessenger) receive() {
	if p.conn == nil {
		return
	}
	var buf [note.Longest + 1]byte
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if errclass.Socket(err) == errclass.Closed {
				return
			}
			time.Sleep(maxRetryPause) // a peer's port is shut while it restarts; or this machine is short of something
			continue
		}
		peer, known := p.peerIndex[from.String()]
		host, order, ok := note.ReadGoodHost(buf[:size])
		if !known || !ok { // a stray datagram must not bring an endpoint back
			continue
		}
		if !p.isNewer(peer, order, time.Now()) { // nor one from before its last outage
			lateDatagrams.Add()
			continue
		}
		p.desk.enqueue(func(to delivery.Handler) {
			if ep, listed := p.desk.endpointIndex.Find(host); listed {
				to.PeerReportedHealthy(peer, ep)
			}
		})
	}
}

// isNewer tells whether a datagram of a peer is later than all that came of it, and notes it.
func (p *peerMessenger) isNewer(peer int, order note.Order, now time.Time) bool {
	newest, heard := p.lastReceived[peer]
	if heard && !order.After(newest.order) && (order.Process == newest.order.Process || now.Sub(newest.receivedAt) < maxDatagramDelay) {
		return false
	}
	p.lastReceived[peer] = receivedDatagram{order, now}
	return true
}

func (p *peerMessenger) sendGood(host string) {
	data := note.GoodHost(host, note.Order{Process: p.processStart, Number: p.sequence.Add(1)})
	if p.conn == nil || len(data) > note.Longest {
		return
	}
	if _, err := p.conn.WriteToUDP(data, p.broadcastAddr); err != nil {
		logs.Part("peers").WithError(err).Debug("a note is not sent")
	}
}

func (p *peerMessenger) close() {
	if p.conn != nil {
		p.conn.Close()
	}
}
