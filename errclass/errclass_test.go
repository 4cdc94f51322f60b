package errclass

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against an error that is taken for another's failure, or is tried again for ever.
func TestErrorsAreClassified(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return fmt.Errorf("around it: %w", &net.OpError{Op: "x", Err: os.NewSyscallError("x", errno)})
	}
	for _, c := range []struct {
		err                  error
		file, socket, stream Class
	}{
		{nil, None, None, None},
		{wrapped(syscall.EINTR), Momentary, Momentary, Momentary},
		{wrapped(syscall.EMFILE), Momentary, Momentary, Momentary},
		{wrapped(syscall.ENOSPC), Momentary, Peer, Peer},
		{wrapped(syscall.ENOENT), Permanent, Peer, Peer},
		{wrapped(syscall.ENOBUFS), Momentary, Momentary, Momentary},
		{wrapped(syscall.EADDRNOTAVAIL), Permanent, Momentary, Momentary},
		{wrapped(syscall.ECONNREFUSED), Permanent, Peer, Peer},
		{wrapped(syscall.ECONNRESET), Permanent, Peer, Peer},
		{wrapped(syscall.EHOSTUNREACH), Permanent, Peer, Momentary},
		{wrapped(syscall.ETIMEDOUT), Momentary, Peer, Momentary},
		{io.EOF, Permanent, Peer, Peer},
		{os.ErrDeadlineExceeded, Permanent, Expired, Expired},
		{net.ErrClosed, Permanent, Closed, Closed},
		{os.ErrClosed, Closed, Permanent, Permanent},
		{errors.New("something else"), Permanent, Permanent, Permanent},
	} {
		if f, so, st := File(c.err), Socket(c.err), Stream(c.err); f != c.file || so != c.socket || st != c.stream {
			t.Errorf("%v: %d, %d, %d, want %d, %d, %d", c.err, f, so, st, c.file, c.socket, c.stream)
		}
	}
	calls := 0
	err := Retry(File, time.Minute, time.Microsecond, func() error {
		if calls++; calls < 4 {
			return syscall.EIO
		}
		return syscall.ENOENT
	})
	if calls != 4 || !errors.Is(err, syscall.ENOENT) {
		t.Errorf("%d calls, %v", calls, err)
	}
}
