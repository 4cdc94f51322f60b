package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const maxDatagram = 2048

// DatagramProxy forwards the datagrams of one sender to all receivers. They come from the proxy's address, which stands
// for the sender.
type DatagramProxy struct {
	socket *net.UDPConn

	mu          sync.Mutex
	random      *rand.Rand
	receivers   []*net.UDPAddr
	probability float64 // for each datagram and kind of fault
	maxDelay    time.Duration
}

// ListenDatagrams opens a proxy for one sender on loopback.
func ListenDatagrams(seed uint64) (*DatagramProxy, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	d := &DatagramProxy{socket: socket, random: rand.New(rand.NewPCG(seed, 0xda7a))}
	go d.run()
	return d, nil
}

// Address returns the address that the sender sends to, and from which receivers get its datagrams.
func (d *DatagramProxy) Address() string { return d.socket.LocalAddr().String() }

// SetReceivers sets where later datagrams are forwarded to.
func (d *DatagramProxy) SetReceivers(receivers []*net.UDPAddr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.receivers = receivers
}

// SetFaults makes datagrams be repeated, dropped and delayed, each with the given probability. Delays are shorter than
// maxDelay and cause reordering.
func (d *DatagramProxy) SetFaults(probability float64, maxDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probability, d.maxDelay = probability, maxDelay
}

// Close stops the proxy.
func (d *DatagramProxy) Close() { d.socket.Close() }

func (d *DatagramProxy) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := d.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		datagram := append([]byte(nil), buffer[:n]...)
		d.mu.Lock()
		receivers := d.receivers
		d.mu.Unlock()
		for _, to := range receivers {
			for _, delay := range d.drawDelays() {
				time.AfterFunc(delay, func() { d.socket.WriteToUDP(datagram, to) })
			}
		}
	}
}

// drawDelays returns one delay for each copy of a datagram to send, and none if it is dropped.
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
