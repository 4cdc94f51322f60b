// Package errclass says what an error of a system call means for the caller: whether the same call may be tried
// again, and to whom the failure is charged. It is the only place that decides this.
package errclass

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Class is what an error means.
type Class uint8

// The classes.
const (
	None             Class = iota // there is no error
	Transient                     // this machine was short of something or interrupted: the same call may be tried again
	Remote                        // the other side, or the way to it, failed
	DeadlineExceeded              // a deadline of our own passed
	Closed                        // we closed it
	Permanent                     // the same call would fail again
)

// transientErrnos are the errors that say nothing of the object of the call. Linux documents them for calls on files and
// on sockets alike.
var transientErrnos = map[syscall.Errno]bool{
	syscall.EINTR:  true,
	syscall.EAGAIN: true,
	syscall.ENOMEM: true,
	syscall.EMFILE: true,
	syscall.ENFILE: true,
}

// transientFileErrnos are those that a disk has for a while.
var transientFileErrnos = map[syscall.Errno]bool{
	syscall.EIO:       true,
	syscall.ENOSPC:    true,
	syscall.EDQUOT:    true,
	syscall.EBUSY:     true,
	syscall.ETXTBSY:   true,
	syscall.ENOBUFS:   true,
	syscall.ETIMEDOUT: true,
}

// transientSocketErrnos are those that the local side of the network has for a while: buffers, ports, addresses, rules
// of its packet filter.
var transientSocketErrnos = map[syscall.Errno]bool{
	syscall.ENOBUFS:       true,
	syscall.EADDRINUSE:    true,
	syscall.EADDRNOTAVAIL: true,
	syscall.EPERM:         true,
	syscall.EACCES:        true,
	syscall.EIO:           true,
}

// transientStreamErrnos are those that a read or write of an established connection may meet and outlast: the system
// tells of trouble on the way while it still tries, or once, before the end of a connection that has really gone. The
// same call tells then.
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

// DescriptorsExhausted tells whether this process has no descriptor left, so that closing one of its own helps.
func DescriptorsExhausted(err error) bool { return errors.Is(err, syscall.EMFILE) }
