package node

import (
	"context"
	"net"
	"syscall"

	"jaspersill/logs"
)

// socketBuffers bounds what the kernel queues for one connection, in bytes; 0 leaves its default. Without a bound, the kernel
// grows the queue of each connection to megabytes when the other side writes more than is read.
type socketBuffers struct{ receive, send int }

// control sets the sizes on a new socket. For a listening socket they are inherited by the connections that it accepts. A kernel
// that rejects a size keeps its default.
func (b socketBuffers) control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		b.set(int(descriptor), syscall.SO_RCVBUF, b.receive)
		b.set(int(descriptor), syscall.SO_SNDBUF, b.send)
	})
}

func (b socketBuffers) set(descriptor, option, size int) {
	if size <= 0 {
		return
	}
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, option, size); err != nil {
		logs.Part("node").WithError(err).Debug("failed to set the size of a socket buffer")
	}
}

// resizeReceiveBuffer changes what the kernel queues for the connection, unless that is its size already. 0 stands for the
// kernel's default, which grows by itself.
func (c *clientConn) resizeReceiveBuffer(size int) {
	if c.receiveBuffer == 0 || size == 0 || size == c.receiveBuffer {
		return
	}
	c.receiveBuffer = size
	if raw, err := c.SyscallConn(); err == nil {
		socketBuffers{receive: size}.control("", "", raw)
	}
}

// listenTCP listens on an address. backlog bounds the connections that wait to be accepted, whose queues count too; 0 leaves the
// default.
func listenTCP(address string, buffers socketBuffers, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: buffers.control}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil || backlog <= 0 {
		return listener, err
	}
	if raw, rawErr := listener.(*net.TCPListener).SyscallConn(); rawErr == nil {
		raw.Control(func(descriptor uintptr) {
			if err := syscall.Listen(int(descriptor), backlog); err != nil {
				logs.Part("node").WithError(err).Debug("failed to set the backlog of the listening socket")
			}
		})
	}
	return listener, nil
}
