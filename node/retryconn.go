package node

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"jaspersill/errclass"
	"jaspersill/metrics"
)

const (
	minRetryPause = time.Millisecond // before a call is tried again that failed for a moment, doubling
	maxRetryPause = 20 * time.Millisecond
)

var transientFailures = metrics.NewFamily("jaspersill_momentary_failures_total",
	"Calls on sockets that failed for a reason of this machine and were tried again.", "call", "read", "write", "connect", "accept")

// retryConn is a connection whose reads and writes are tried again when they fail for a moment: nothing is lost on
// it then. Its deadlines, and closing it, end the trying. One goroutine reads at a time.
type retryConn struct {
	net.Conn
	readFailingSince time.Time  // when a read first failed so; what was read since may have come then
	onStall          func(bool) // hears when reads begin to fail so, and when they work again; nil for nobody

	mu       sync.Mutex // held while bytes are taken off the connection, so that they are seen on one side or the other
	received bool       // bytes were taken off it since it was last told to expect some
}

// Read implements net.Conn.
func (c *retryConn) Read(b []byte) (int, error) {
	stalled := false
	defer func() {
		if stalled {
			c.onStall(false)
		}
	}()
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		n, err := c.readOnce(b)
		if n > 0 || errclass.Stream(err) != errclass.Transient {
			return n, err
		}
		transientFailures.With("read").Add()
		if c.readFailingSince.IsZero() {
			c.readFailingSince = time.Now()
		}
		if !stalled && c.onStall != nil {
			stalled = true
			c.onStall(true)
		}
		time.Sleep(pause)
	}
}

// Write implements net.Conn. What went out in part is gone on with.
func (c *retryConn) Write(b []byte) (written int, err error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		n, err := c.writeOnce(b[written:])
		written += n
		if written == len(b) || (err != nil && errclass.Stream(err) != errclass.Transient) {
			return written, err
		}
		if n == 0 {
			transientFailures.With("write").Add()
			time.Sleep(pause)
		}
	}
}

// WriteIfReady writes all or, where its first write fails for a moment, nothing: then the error says so, and
// the caller decides whether what it wanted to write is still wanted. It stops where an answer comes before the last byte
// is written.
func (c *retryConn) WriteIfReady(b []byte) (written int, err error) {
	written, err = c.writeOnce(b)
	if written == 0 || written == len(b) || (err != nil && errclass.Stream(err) != errclass.Transient) {
		return written, err
	}
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		if c.hasUnread() {
			return written, errEarlyAnswer
		}
		n, err := c.writeOnce(b[written:])
		written += n
		if written == len(b) || (err != nil && errclass.Stream(err) != errclass.Transient) {
			return written, err
		}
		if n == 0 {
			transientFailures.With("write").Add()
			time.Sleep(pause)
		}
	}
}

// errEarlyAnswer tells that bytes came before the last byte of what they might be an answer to was written.
var errEarlyAnswer = errors.New("an answer came before its call was written")

// readOnce makes one read that does not wait in vain: the standard library hides that a call was interrupted, and
// with it how long the bytes may have stood there.
func (c *retryConn) readOnce(b []byte) (n int, err error) {
	raw := c.raw()
	if raw == nil || len(b) == 0 {
		n, err = c.Conn.Read(b)
		c.noteReceived(n)
		return n, err
	}
	var failure error
	err = raw.Read(func(descriptor uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, failure = syscall.Read(int(descriptor), b)
		c.received = c.received || n > 0
		return failure != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case failure != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", failure)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// writeOnce makes one write, of a part if there is no room for all.
func (c *retryConn) writeOnce(b []byte) (n int, err error) {
	raw := c.raw()
	if raw == nil || len(b) == 0 {
		return c.Conn.Write(b)
	}
	var failure error
	err = raw.Write(func(descriptor uintptr) bool {
		n, failure = syscall.Write(int(descriptor), b)
		return failure != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case failure != nil:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", failure)}
	}
	return n, nil
}

// raw is the descriptor of a TCP connection, nil for another kind.
func (c *retryConn) raw() syscall.RawConn {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

func (c *retryConn) noteReceived(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = c.received || n > 0
}

// expectAnswer begins to watch for an answer.
func (c *retryConn) expectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
}

// answerStarted tells whether bytes came since expect, whether or not they were read.
func (c *retryConn) answerStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received || c.hasUnread()
}

// hasUnread tells whether bytes can be read, without waiting and whatever the deadline is.
func (c *retryConn) hasUnread() (unread bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, _ := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
	})
	return unread
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

// dialWithRetry connects, and tries again while connecting fails for a reason of this machine.
func dialWithRetry(ctx context.Context, dial dialFunc, address string) (*retryConn, error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		conn, err := dial(ctx, address)
		if err == nil {
			return &retryConn{Conn: conn}, nil
		}
		if errclass.Socket(err) != errclass.Transient {
			return nil, err
		}
		transientFailures.With("connect").Add()
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

const (
	openSocketTimeout  = 5 * time.Second // for sockets that cannot be opened at the start
	openSocketInterval = 20 * time.Millisecond
)

// openSocket opens a socket of the start, and tries again while that fails for a reason of this machine.
func openSocket[S any](open func() (S, error)) (socket S, err error) {
	err = errclass.Retry(errclass.Socket, openSocketTimeout, openSocketInterval, func() error {
		socket, err = open()
		return err
	})
	return socket, err
}
