package node

import (
	"net"
	"sync/atomic"
	"time"

	"jaspersill/errclass"
	"jaspersill/logs"
	"jaspersill/metrics"
	"jaspersill/note"
	"jaspersill/port"
)

// peers trades notes with the other delivery nodes, by datagrams that may come late or never.
type peers struct {
	socket *net.UDPConn
	all    *net.UDPAddr
	number map[string]int // of each peer, by its address
	desk   *decisionLoop

	process uint64 // that this process sends under
	sent    atomic.Uint32
	newest  map[int]heardNote // by peer; of the goroutine that hears
}

// heardNote is the newest datagram of a peer, and when it came.
type heardNote struct {
	order note.Order
	at    time.Time
}

// lateMost is how long a datagram may be on its way. A peer whose process seems older than the one before, after a longer
// silence, has had its clock set back.
const lateMost = 10 * time.Second

var lateNotes = metrics.New("jaspersill_late_peer_datagrams_total", "Datagrams of peers that came again, or behind a later one.")

func openPeers(address, all string, list []string, me int, d *decisionLoop, day int64) (*peers, error) {
	p := &peers{number: make(map[string]int), desk: d, process: uint64(day), newest: make(map[int]heardNote)}
	if address == "" || all == "" {
		return p, nil // the deployment has no notes
	}
	for i, address := range list {
		if i != me { // its own notes come back to it
			p.number[address] = i
		}
	}
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if p.all, err = net.ResolveUDPAddr("udp", all); err != nil {
		return nil, err
	}
	p.socket, err = openSocket(func() (*net.UDPConn, error) { return net.ListenUDP("udp", at) })
	return p, err
}

// hear hands in what peers tell until the socket closes.
func (p *peers) hear() {
	if p.socket == nil {
		return
	}
	var buf [note.Longest + 1]byte
	for {
		size, from, err := p.socket.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			if errclass.Socket(err) == errclass.Closed {
				return
			}
			time.Sleep(maxRetryPause) // a peer's port is shut while it restarts; or this machine is short of something
			continue
		}
		peer, known := p.number[from.String()]
		host, order, ok := note.ReadGoodHost(buf[:size])
		if !known || !ok { // a stray datagram must not bring an endpoint back
			continue
		}
		if !p.isNews(peer, order, time.Now()) { // nor one from before its last outage
			lateNotes.Add()
			continue
		}
		p.desk.enqueue(func(to port.Intake) {
			if ep, listed := p.desk.endpointIndex.Find(host); listed {
				to.PeerGood(peer, ep)
			}
		})
	}
}

// isNews tells whether a datagram of a peer is later than all that came of it, and notes it.
func (p *peers) isNews(peer int, order note.Order, now time.Time) bool {
	newest, heard := p.newest[peer]
	if heard && !order.After(newest.order) && (order.Process == newest.order.Process || now.Sub(newest.at) < lateMost) {
		return false
	}
	p.newest[peer] = heardNote{order, now}
	return true
}

func (p *peers) tellGood(host string) {
	data := note.GoodHost(host, note.Order{Process: p.process, Number: p.sent.Add(1)})
	if p.socket == nil || len(data) > note.Longest {
		return
	}
	if _, err := p.socket.WriteToUDP(data, p.all); err != nil {
		logs.Part("peers").WithError(err).Debug("a note is not sent")
	}
}

func (p *peers) close() {
	if p.socket != nil {
		p.socket.Close()
	}
}
