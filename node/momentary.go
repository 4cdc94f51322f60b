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
// it then. Its deadlines, and closing it, end the trying.
type retryConn struct{ net.Conn }

// Read implements net.Conn.
func (c retryConn) Read(b []byte) (int, error) {
	for pause := callAgain; ; pause = min(2*pause, callAgainMost) {
		n, err := c.Conn.Read(b)
		if n > 0 || errclass.Socket(err) != errclass.Momentary {
			return n, err
		}
		momentaryFailures["read"].Add()
		time.Sleep(pause)
	}
}

// Write implements net.Conn. What went out in part is gone on with.
func (c retryConn) Write(b []byte) (written int, err error) {
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
func (c retryConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c retryConn) SyscallConn() (syscall.RawConn, error) {
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
			return retryConn{conn}, nil
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
