package main

import (
	"net"
	"time"
)

// chunk is a piece of data on its way through a link.
type chunk struct {
	data []byte
	due  time.Time
}

// link passes connections on to a server, each piece with the delay of the network.
type link struct {
	server string
	delay  func(toNode bool, index int) time.Duration // of a piece; index counts the pieces of one direction
}

// serve listens at a free address and returns it.
func (l *link) serve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", l.server)
			if err != nil {
				client.Close()
				continue
			}
			go l.pump(client.(*net.TCPConn), server.(*net.TCPConn), false)
			go l.pump(server.(*net.TCPConn), client.(*net.TCPConn), true)
		}
	}()
	return listener.Addr().String(), nil
}

// pump passes one direction on, in order, until its end, and then ends that direction too.
func (l *link) pump(from, to *net.TCPConn, toNode bool) {
	pieces := make(chan chunk, 256)
	go func() {
		for piece := range pieces {
			time.Sleep(time.Until(piece.due))
			if _, err := to.Write(piece.data); err != nil {
				from.Close()
			}
		}
		to.CloseWrite()
	}()
	defer close(pieces)
	last := time.Time{}
	for index := 0; ; index++ {
		data := make([]byte, 64<<10)
		n, err := from.Read(data)
		if err != nil {
			return
		}
		due := time.Now().Add(l.delay(toNode, index))
		if due.Before(last) {
			due = last
		}
		last = due
		pieces <- chunk{data[:n], due}
	}
}
