package faultproxy

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	fullBacklog    = 0    // a listen backlog that one connection fills
	normalBacklog  = 1024 // connections that wait to be accepted
	fillTimeout    = 50 * time.Millisecond
	acceptInterval = 10 * time.Millisecond // between tries to accept around a pause
)

// errNotFilled means that a client's connection took the place in the accept queue that was to be filled.
var errNotFilled = errors.New("the accept queue was filled by a client")

// DropConnects lets the system drop what arrives to open a connection to the proxy until ctx ends: the accept queue is full, so that
// a client's system tries again after a second. Open connections are not affected. It returns an error if no connect was dropped.
func (p *Proxy) DropConnects(ctx context.Context) error {
	p.dropping.Lock()
	defer p.dropping.Unlock()
	p.accepting.Store(false)
	defer p.accepting.Store(true)
	p.listener.SetDeadline(time.Now()) // interrupts Accept
	select {
	case <-p.paused:
	case <-ctx.Done():
		p.listener.SetDeadline(time.Time{})
		return ctx.Err()
	}
	defer func() { p.resume <- struct{}{} }()
	defer p.listener.SetDeadline(time.Time{})
	if err := p.setBacklog(fullBacklog); err != nil {
		return err
	}
	defer p.setBacklog(normalBacklog)
	filler, err := net.DialTimeout("tcp", p.Address(), fillTimeout)
	if err != nil {
		return errNotFilled
	}
	defer filler.Close()
	p.mu.Lock()
	p.filler = filler.LocalAddr().String()
	p.mu.Unlock()
	<-ctx.Done()
	return nil
}

// setBacklog changes how many connections may wait to be accepted.
func (p *Proxy) setBacklog(backlog int) (err error) {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(descriptor uintptr) { err = syscall.Listen(int(descriptor), backlog) })
	return errors.Join(controlErr, err)
}

// accept accepts the next connection of a client. It pauses while connects are dropped.
func (p *Proxy) accept() (*net.TCPConn, error) {
	for {
		conn, err := p.listener.AcceptTCP()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && !p.accepting.Load():
			select {
			case p.paused <- struct{}{}:
				<-p.resume
			case <-time.After(acceptInterval): // DropConnects has returned
			}
		case errors.Is(err, os.ErrDeadlineExceeded): // of a pause that is over
			time.Sleep(acceptInterval)
		case err != nil:
			return nil, err
		case p.isFiller(conn):
			conn.Close()
		default:
			return conn, nil
		}
	}
}

// isFiller reports whether a connection is the one that filled the accept queue.
func (p *Proxy) isFiller(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return conn.RemoteAddr().String() == p.filler
}
