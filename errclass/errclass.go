// Package errclass classifies errors of system calls: whether the same call may be retried, and which side the failure is
// attributed to. It is the only place that decides this.
package errclass

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Class is the meaning of an error for the caller.
type Class uint8

const (
	None             Class = iota // no error
	Transient                     // a resource of this machine was short, or the call was interrupted: it may be retried
	Remote                        // the remote side, or the network path to it, failed
	DeadlineExceeded              // a local deadline passed
	Closed                        // closed by this process
	Permanent                     // retrying the same call would fail again
)

// transientErrnos do not depend on the file or socket that the call is made on. Linux documents them for calls on files and
// on sockets alike.
var transientErrnos = map[syscall.Errno]bool{
	syscall.EINTR:  true,
	syscall.EAGAIN: true,
	syscall.ENOMEM: true,
	syscall.EMFILE: true,
	syscall.ENFILE: true,
}

// transientFileErrnos are further errors from which a disk can recover.
var transientFileErrnos = map[syscall.Errno]bool{
	syscall.EIO:       true,
	syscall.ENOSPC:    true,
	syscall.EDQUOT:    true,
	syscall.EBUSY:     true,
	syscall.ETXTBSY:   true,
	syscall.ENOBUFS:   true,
	syscall.ETIMEDOUT: true,
}

// transientSocketErrnos are further errors of the local network stack that can pass: no buffers, ports or addresses left,
// or a rule of the local packet filter.
var transientSocketErrnos = map[syscall.Errno]bool{
	syscall.ENOBUFS:       true,
	syscall.EADDRINUSE:    true,
	syscall.EADDRNOTAVAIL: true,
	syscall.EPERM:         true,
	syscall.EACCES:        true,
	syscall.EIO:           true,
}

// transientStreamErrnos are further errors that a read or write on an established connection can survive. The kernel
// reports a problem on the path while it is still retransmitting, or once before it ends a connection that is really
// lost. Retrying the call shows which of the two it is.
var transientStreamErrnos = map[syscall.Errno]bool{
	syscall.ETIMEDOUT:    true,
	syscall.EHOSTUNREACH: true,
	syscall.ENETUNREACH:  true,
	syscall.ENETDOWN:     true,
}

// File classifies an error of a call on a file or a folder.
func File(err error) Class {
	var errno syscall.Errno
	switch {
	case err == nil:
		return None
	case errors.Is(err, os.ErrClosed):
		return Closed
	case errors.As(err, &errno) && (transientErrnos[errno] || transientFileErrnos[errno]):
		return Transient
	}
	return Permanent
}

// Stream classifies an error of a read or write on an established connection.
func Stream(err error) Class {
	var errno syscall.Errno
	if errors.As(err, &errno) && transientStreamErrnos[errno] {
		return Transient
	}
	return Socket(err)
}

// Socket classifies an error of opening, connecting or accepting a socket.
func Socket(err error) Class {
	var errno syscall.Errno
	switch {
	case err == nil:
		return None
	case errors.Is(err, net.ErrClosed):
		return Closed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return DeadlineExceeded
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Remote
	case errors.As(err, &errno) && (transientErrnos[errno] || transientSocketErrnos[errno]):
		return Transient
	case errors.As(err, &errno):
		return Remote
	}
	return Permanent
}

// DescriptorsExhausted reports whether this process has no file descriptor left, so that closing one of its own helps.
func DescriptorsExhausted(err error) bool { return errors.Is(err, syscall.EMFILE) }
