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

// Guards against a local error being attributed to the remote side, and against a permanent error being retried forever.
func TestErrorsAreClassified(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return fmt.Errorf("outer error: %w", &net.OpError{Op: "x", Err: os.NewSyscallError("x", errno)})
	}
	for _, c := range []struct {
		err                  error
		file, socket, stream Class
	}{
		{nil, None, None, None},
		{wrapped(syscall.EINTR), Transient, Transient, Transient},
		{wrapped(syscall.EMFILE), Transient, Transient, Transient},
		{wrapped(syscall.ENOSPC), Transient, Remote, Remote},
		{wrapped(syscall.ENOENT), Permanent, Remote, Remote},
		{wrapped(syscall.ENOBUFS), Transient, Transient, Transient},
		{wrapped(syscall.EADDRNOTAVAIL), Permanent, Transient, Transient},
		{wrapped(syscall.ECONNREFUSED), Permanent, Remote, Remote},
		{wrapped(syscall.ECONNRESET), Permanent, Remote, Remote},
		{wrapped(syscall.EHOSTUNREACH), Permanent, Remote, Transient},
		{wrapped(syscall.ETIMEDOUT), Transient, Remote, Transient},
		{io.EOF, Permanent, Remote, Remote},
		{os.ErrDeadlineExceeded, Permanent, DeadlineExceeded, DeadlineExceeded},
		{net.ErrClosed, Permanent, Closed, Closed},
		{os.ErrClosed, Closed, Permanent, Permanent},
		{errors.New("unknown error"), Permanent, Permanent, Permanent},
	} {
		if f, so, st := File(c.err), Socket(c.err), Stream(c.err); f != c.file || so != c.socket || st != c.stream {
			t.Errorf("%v: got file %d, socket %d, stream %d, want %d, %d, %d", c.err, f, so, st, c.file, c.socket, c.stream)
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
		t.Errorf("got %d calls and error %v, want 4 calls and ENOENT", calls, err)
	}
}
