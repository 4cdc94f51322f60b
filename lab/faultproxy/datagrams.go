package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const maxDatagram = 2048

// DatagramProxy forwards the datagrams of one sender to all receivers, from an address that stands for that sender.
type DatagramProxy struct {
	socket *net.UDPConn

	mu          sync.Mutex
	random      *rand.Rand
	receivers   []*net.UDPAddr
	probability float64       // of the datagrams, for each kind of fault
	maxDelay    time.Duration // of a delay
}

// ListenDatagrams opens a forwarder for one sender on loopback.
func ListenDatagrams(seed uint64) (*DatagramProxy, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	d := &DatagramProxy{socket: socket, random: rand.New(rand.NewPCG(seed, 0xda7a))}
	go d.run()
	return d, nil
}

// Address is where the sender sends to, and what receivers know it by.
func (d *DatagramProxy) Address() string { return d.socket.LocalAddr().String() }

// SetReceivers has all that comes go to these receivers from now on.
func (d *DatagramProxy) SetReceivers(receivers []*net.UDPAddr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.receivers = receivers
}

// SetFaults has a share of the datagrams repeated, and as many dropped; delays are drawn up to most, so that later ones
// overtake.
func (d *DatagramProxy) SetFaults(share float64, most time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probability, d.maxDelay = share, most
}

// Close ends the forwarding.
func (d *DatagramProxy) Close() { d.socket.Close() }

func (d *DatagramProxy) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := d.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		text := append([]byte(nil), buffer[:n]...)
		d.mu.Lock()
		receivers := d.receivers
		d.mu.Unlock()
		for _, to := range receivers {
			for _, delay := range d.drawDelays() {
				time.AfterFunc(delay, func() { d.socket.WriteToUDP(text, to) })
			}
		}
	}
}

// drawDelays draws when copies of a datagram go out: none for one that is dropped.
func (d *DatagramProxy) drawDelays() (list []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := func() time.Duration {
		if d.maxDelay <= 0 || d.random.Float64() >= d.probability {
			return 0
		}
		return time.Duration(d.random.Int64N(int64(d.maxDelay)))
	}
	if d.random.Float64() >= d.probability {
		list = append(list, delay())
	}
	if d.random.Float64() < d.probability {
		list = append(list, delay())
	}
	return list
}
