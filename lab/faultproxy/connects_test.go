package faultproxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a proxy whose connections come up in time although connects are dropped, or which disturbs those that are open.
func TestDroppedConnectsComeUpLate(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	p, err := Listen("127.0.0.1:0", target.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	connect := func() (conn net.Conn, took time.Duration) {
		began := time.Now()
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		return conn, time.Since(began)
	}
	echo := func(conn net.Conn) {
		conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
		if _, err := io.WriteString(conn, "?"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	open, _ := connect()
	echo(open)
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		dropped := make(chan error)
		go func() { dropped <- p.DropConnects(ctx) }()
		time.Sleep(100 * time.Millisecond)
		late := make(chan net.Conn)
		go func() {
			conn, took := connect()
			if took < 900*time.Millisecond {
				t.Errorf("a connection came up after %v, want about 1 s", took)
			}
			late <- conn
		}()
		echo(open)
		if err := <-dropped; err != nil {
			t.Fatal(err)
		}
		cancel()
		conn := <-late
		echo(conn)
		if _, took := connect(); took > 500*time.Millisecond {
			t.Errorf("a connection came up %v after the pause", took)
		}
	}
}
