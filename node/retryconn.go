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
	minRetryPause = time.Millisecond // before the first retry of a call that failed with a transient error; doubles each time
	maxRetryPause = 20 * time.Millisecond
)

var transientFailures = metrics.NewCounterVec("jaspersill_momentary_failures_total",
	"Calls on sockets that failed for a reason of this machine and were tried again.", "call", "read", "write", "connect", "accept")

// retryConn is a connection that retries reads and writes after transient errors, which lose no data. Its deadlines, and
// closing it, end the retries. Only one goroutine may read at a time.
type retryConn struct {
	net.Conn
	// delayedSince is when a read first failed with a transient error. Data read since then may have arrived that early.
	// For a client connection that could not be accepted at once, it starts as the time since which accepting was delayed.
	delayedSince time.Time
	// onStall is called with true when reads start to fail with transient errors, and with false when the read ends. It may
	// be nil.
	onStall func(bool)

	mu       sync.Mutex // held during a read, so that responseStarted sees the data either as received or as unread
	received bool       // data was read since the last expectResponse
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
		transientFailures.With("read").Inc()
		if c.delayedSince.IsZero() {
			c.delayedSince = time.Now()
		}
		if !stalled && c.onStall != nil {
			stalled = true
			c.onStall(true)
		}
		time.Sleep(pause)
	}
}

// Write implements net.Conn. After a partial write it continues with the rest.
func (c *retryConn) Write(b []byte) (written int, err error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		n, err := c.writeOnce(b[written:], admitAlways)
		written += n
		if written == len(b) || (err != nil && errclass.Stream(err) != errclass.Transient) {
			return written, err
		}
		if n == 0 {
			transientFailures.With("write").Inc()
			time.Sleep(pause)
		}
	}
}

// WriteIfReady writes all of b, or nothing if the first write fails with a transient error. It then returns that error, and
// the caller decides whether the data should still be written. It stops if a response arrives before the last byte is
// written, and with the error of admit, which is called right before each system call that writes.
func (c *retryConn) WriteIfReady(b []byte, admit func() error) (written int, err error) {
	written, err = c.writeOnce(b, admit)
	if written == 0 || written == len(b) || (err != nil && errclass.Stream(err) != errclass.Transient) {
		return written, err
	}
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		if c.hasUnread() {
			return written, errEarlyResponse
		}
		n, err := c.writeOnce(b[written:], admit)
		written += n
		if errors.Is(err, errNotAdmittedYet) {
			time.Sleep(pause)
			continue
		}
		if written == len(b) || (err != nil && errclass.Stream(err) != errclass.Transient) {
			return written, err
		}
		if n == 0 {
			transientFailures.With("write").Inc()
			time.Sleep(pause)
		}
	}
}

// errEarlyResponse means that data arrived before the last byte of the call that it might answer was written.
var errEarlyResponse = errors.New("response received before the call was written completely")

// readOnce makes a single read call and returns its transient errors. The standard library hides that a call was
// interrupted, and with it how long the data may have been waiting.
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

func admitAlways() error { return nil }

// writeOnce makes a single write call, which is partial if the socket buffer has no space for all of b. It waits for space, and calls
// admit behind that; if admit returns an error, nothing is written.
func (c *retryConn) writeOnce(b []byte, admit func() error) (n int, err error) {
	raw := c.raw()
	if raw == nil || len(b) == 0 {
		if err := admit(); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	var failure, denied error
	err = raw.Write(func(descriptor uintptr) bool {
		if denied = admit(); denied != nil {
			return true
		}
		n, failure = syscall.Write(int(descriptor), b)
		return failure != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case denied != nil:
		return 0, denied
	case failure != nil:
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", failure)}
	}
	return n, nil
}

// raw returns the raw connection of a TCP connection, or nil for any other kind.
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

// expectResponse starts to watch for a response.
func (c *retryConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
}

// responseStarted reports whether data has arrived since expectResponse, whether or not it was read.
func (c *retryConn) responseStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received || c.hasUnread()
}

// hasUnread reports whether unread data is available. It does not block, and ignores the read deadline.
func (c *retryConn) hasUnread() bool { return len(c.peekUnread(1)) > 0 }

// peekUnread returns up to size bytes of the unread data that is available, and leaves them unread. It does not block, and ignores the read
// deadline.
func (c *retryConn) peekUnread(size int) []byte {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	peeked, n := make([]byte, size), 0
	raw.Control(func(descriptor uintptr) {
		n, _, _ = syscall.Recvfrom(int(descriptor), peeked, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return peeked[:max(n, 0)]
}

// CloseWrite closes the write side.
func (c *retryConn) CloseWrite() error {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return writeCloser.CloseWrite()
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

// dialFunc connects to an address; ctx bounds the attempt.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialWithRetry connects, and retries while connecting fails because of a transient error of this machine.
func dialWithRetry(ctx context.Context, dial dialFunc, address string) (*retryConn, error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		conn, err := dial(ctx, address)
		if err == nil {
			return &retryConn{Conn: conn}, nil
		}
		if errclass.Socket(err) != errclass.Transient {
			return nil, err
		}
		transientFailures.With("connect").Inc()
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

const (
	openSocketTimeout  = 5 * time.Second // for sockets that cannot be opened at startup
	openSocketInterval = 20 * time.Millisecond
)

// openSocket opens a socket at startup, and retries while that fails because of a transient error of this machine.
func openSocket[S any](open func() (S, error)) (socket S, err error) {
	err = errclass.Retry(errclass.Socket, openSocketTimeout, openSocketInterval, func() error {
		socket, err = open()
		return err
	})
	return socket, err
}
