package node

import (
	"net"
	"time"

	"jaspersill/errclass"
	"jaspersill/logs"
	"jaspersill/note"
	"jaspersill/port"
)

// peers trades notes with the other delivery nodes, by datagrams that may come late or never.
type peers struct {
	socket *net.UDPConn
	all    *net.UDPAddr
	number map[string]int // of each peer, by its address
	desk   *desk
}

func openPeers(address, all string, list []string, me int, d *desk) (*peers, error) {
	p := &peers{number: make(map[string]int), desk: d}
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
			time.Sleep(callAgainMost) // a peer's port is shut while it restarts; or this machine is short of something
			continue
		}
		peer, known := p.number[from.String()]
		host, ok := note.ReadGoodHost(buf[:size])
		if !known || !ok {
			continue // danger: a stray datagram must not bring an endpoint back
		}
		p.desk.hear(func(to port.Intake) {
			if ep, listed := p.desk.eps.Find(host); listed {
				to.PeerGood(peer, ep)
			}
		})
	}
}

func (p *peers) tellGood(host string) {
	data := note.GoodHost(host)
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
