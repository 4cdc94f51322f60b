package node

import (
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jaspersill/metrics"
)

const (
	departureProbeWait = 10 * time.Millisecond // within which a closed connection answers the probe with a reset
	slowStoreTime      = 20 * time.Millisecond // storing an event takes longer only while the disk or this machine is slow

	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

var departedRequests = metrics.NewCounter("jaspersill_departed_requests_total",
	"Requests that were read, and not accepted because their client had closed the connection.")

// hasLeft reports whether the client has closed the connection and reads no response any more. Requests that it wrote before can
// still be read from the socket, but nobody waits for them, and the client may submit them again elsewhere. A client may also have
// ended only its sending, and still wait: an interim response, which clients ignore, tells the two apart, because a closed connection
// answers it with a reset. canIgnoreInterim says that the client's HTTP version has interim responses.
func (c *clientConn) hasLeft(canIgnoreInterim bool) bool {
	switch c.peerState() {
	case peerOpen:
		return false
	case peerReset:
		return true
	}
	if !canIgnoreInterim {
		return false
	}
	if _, err := io.WriteString(c, interimResponse); err != nil {
		return true
	}
	time.Sleep(departureProbeWait)
	return c.peerState() == peerReset
}

// peerState is what the other side has done with a connection, as far as the kernel knows.
type peerState uint8

const (
	peerOpen        peerState = iota // open, or its state is unknown
	peerEndOfStream                  // it sends no more
	peerReset                        // it reads no more either
)

// peerState returns the state of the client's side without consuming input. Other than a read, it sees past unread input.
func (c *clientConn) peerState() peerState {
	raw, err := c.SyscallConn()
	if err != nil {
		return peerOpen
	}
	state := peerOpen
	raw.Control(func(descriptor uintptr) { state = pollPeerState(int(descriptor)) })
	return state
}

func pollPeerState(descriptor int) peerState {
	poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(poll, 0)
	for errors.Is(err, syscall.EINTR) {
		_, err = unix.Poll(poll, 0)
	}
	switch {
	case err != nil:
		return peerOpen
	case poll[0].Revents&unix.POLLERR != 0: // a reset is an error of the socket; POLLHUP alone is none
		return peerReset
	case poll[0].Revents&unix.POLLRDHUP != 0:
		return peerEndOfStream
	}
	return peerOpen
}
