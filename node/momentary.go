package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"jaspersill/errclass"
	"jaspersill/metrics"
)

const (
	callAgain     = time.Millisecond // before a call is tried again that failed for a moment, doubling
	callAgainMost = 20 * time.Millisecond
)

var momentaryFailures = map[string]*metrics.Counter{
	"read":    newMomentaryCounter("read"),
	"write":   newMomentaryCounter("write"),
	"connect": newMomentaryCounter("connect"),
	"accept":  newMomentaryCounter("accept"),
}

func newMomentaryCounter(call string) *metrics.Counter {
	return metrics.NewLabelled("jaspersill_momentary_failures_total",
		"Calls on sockets that failed for a reason of this machine and were tried again.", "call", call)
}

// retryConn is a connection whose reads and writes are tried again when they fail for a moment: nothing is lost on
// it then. Its deadlines, and closing it, end the trying. One goroutine reads at a time.
type retryConn struct {
	net.Conn
	delayedSince time.Time // when a read first failed so; what was read since may have come then
}

// Read implements net.Conn.
func (c *retryConn) Read(b []byte) (int, error) {
	for pause := callAgain; ; pause = min(2*pause, callAgainMost) {
		n, err := c.Conn.Read(b)
		if n > 0 || errclass.Socket(err) != errclass.Momentary {
			return n, err
		}
		momentaryFailures["read"].Add()
		if c.delayedSince.IsZero() {
			c.delayedSince = time.Now()
		}
		time.Sleep(pause)
	}
}

// Write implements net.Conn. What went out in part is gone on with.
func (c *retryConn) Write(b []byte) (written int, err error) {
	for pause := callAgain; ; pause = min(2*pause, callAgainMost) {
		n, err := c.Conn.Write(b[written:])
		written += n
		if written == len(b) || errclass.Socket(err) != errclass.Momentary {
			return written, err
		}
		momentaryFailures["write"].Add()
		time.Sleep(pause)
	}
}

// CloseWrite closes the sending side.
func (c *retryConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *retryConn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// dialFunc connects to an address, for as long as its context lasts.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialAgain connects, and tries again while connecting fails for a reason of this machine.
func dialAgain(ctx context.Context, dial dialFunc, address string) (net.Conn, error) {
	for pause := callAgain; ; pause = min(2*pause, callAgainMost) {
		conn, err := dial(ctx, address)
		if err == nil {
			return &retryConn{Conn: conn}, nil
		}
		if errclass.Socket(err) != errclass.Momentary {
			return nil, err
		}
		momentaryFailures["connect"].Add()
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

const (
	listenWithin = 5 * time.Second // for sockets that cannot be opened at the start
	listenAgain  = 20 * time.Millisecond
)

// openSocket opens a socket of the start, and tries again while that fails for a reason of this machine.
func openSocket[S any](open func() (S, error)) (socket S, err error) {
	err = errclass.Retry(errclass.Socket, listenWithin, listenAgain, func() error {
		socket, err = open()
		return err
	})
	return socket, err
}
