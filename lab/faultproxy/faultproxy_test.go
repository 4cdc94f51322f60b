package faultproxy

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a proxy that injects no fault, or a different one than requested.
func TestEachFaultIsInjected(t *testing.T) {
	const sent = "0123456789"
	for kind, want := range map[Kind]func(got []byte) bool{
		"":        func(got []byte) bool { return string(got) == sent },
		Repeat:    func(got []byte) bool { return string(got) == sent+sent },
		Hold:      func(got []byte) bool { return string(got) == sent },
		Split:     func(got []byte) bool { return string(got) == sent },
		Merge:     func(got []byte) bool { return string(got) == sent },
		Drip:      func(got []byte) bool { return string(got) == sent },
		HalfClose: func(got []byte) bool { return string(got) == sent },
		Truncate:  func(got []byte) bool { return len(got) < len(sent) && bytes.HasPrefix([]byte(sent), got) },
		Alter:     func(got []byte) bool { return len(got) == len(sent) && string(got) != sent },
		Reset:     func(got []byte) bool { return len(got) == 0 },
	} {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			io.ReadFull(conn, make([]byte, 1)) // waits until the client is connected, so that a reset comes after that
			io.WriteString(conn, sent)
			time.Sleep(100 * time.Millisecond)
			conn.Close()
		}()
		p, err := Listen("127.0.0.1:0", target.Addr().String(), 1)
		if err != nil {
			t.Fatal(err)
		}
		if kind != "" {
			p.Add(Fault{Kind: kind, Direction: Responses, Probability: 1, MinDelay: 5 * time.Millisecond, MaxDelay: 10 * time.Millisecond})
		}
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "?")
		got, _ := io.ReadAll(conn)
		if !want(got) {
			t.Errorf("%q: got %q", kind, got)
		}
		if disturbed := p.ConnFromClient(conn.LocalAddr()).Disturbed(); disturbed != (kind != "") {
			t.Errorf("%q: disturbed: %v", kind, disturbed)
		}
		conn.Close()
		p.Close()
		target.Close()
	}
}

// Guards against a proxy that forwards all datagrams undisturbed, or none.
func TestDatagramsAreRepeatedAndDropped(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	d, err := ListenDatagrams(1)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.SetReceivers([]*net.UDPAddr{receiver.LocalAddr().(*net.UDPAddr)})
	d.SetFaults(0.5, time.Millisecond)
	sender, err := net.Dial("udp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	const sent = 40
	counts := map[byte]int{}
	for i := range byte(sent) {
		sender.Write([]byte{i})
		time.Sleep(time.Millisecond)
	}
	receiver.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	for datagram := make([]byte, 1); ; {
		if _, err := receiver.Read(datagram); err != nil {
			break
		}
		counts[datagram[0]]++
	}
	repeated := 0
	for _, n := range counts {
		if n > 1 {
			repeated++
		}
	}
	if len(counts) == 0 || len(counts) == sent || repeated == 0 {
		t.Errorf("%d of %d datagrams received, %d of them twice", len(counts), sent, repeated)
	}
}

// Guards against a response that counts as read although its client had closed the connection before, also where the target closes it behind
// the response.
func TestResponseThatCrossesCloseIsUnread(t *testing.T) {
	const beforeResponse = 50 * time.Millisecond
	for name, reads := range map[string]bool{"client waits": true, "client leaves": false} {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			io.ReadFull(conn, make([]byte, 1))
			time.Sleep(beforeResponse)
			io.WriteString(conn, "response")
			conn.Close()
		}()
		p, err := Listen("127.0.0.1:0", target.Addr().String(), 1)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "?")
		time.Sleep(beforeResponse / 5)
		proxied := p.ConnFromClient(conn.LocalAddr())
		if reads {
			io.ReadAll(conn)
		}
		conn.Close()
		time.Sleep(beforeResponse + 3*resetDelay)
		if got := proxied.ResponseUnread(); got == reads {
			t.Errorf("%s: response unread: %v", name, got)
		}
		p.Close()
		target.Close()
	}
}
