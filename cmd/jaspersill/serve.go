package main

import (
	"context"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"

	"jaspersill/house"
	"jaspersill/logs"
	"jaspersill/node"
	"jaspersill/scheduler"
)

// serve runs the delivery node.
func serve(gate *logs.Gate, own string, replaced <-chan os.Signal) error {
	// Danger: caught only once all is open, a request to stop would end the process in the middle of its start.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	platform := os.Getenv(platformFile)
	t, s, b, err := read(platform, own)
	if err != nil {
		return err
	}
	write(gate, b)
	stopTelling := make(chan struct{})
	defer close(stopTelling)
	go gate.Run(logrus.StandardLogger(), stopTelling)
	if len(s.Unknown) > 0 {
		logs.Part("settings").WithField("names", strings.Join(s.Unknown, " ")).
			Info("the platform tells settings that nothing here reads")
	}
	if cores := b.Share("limits.cores"); cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	seed, err := strconv.ParseUint(b.Text("node.seed"), 16, 64)
	if err != nil {
		return err
	}
	module := scheduler.New(seed, s.Types, s.Partners, s.Room, s.Recovery, s.Directory, s.Fleet, s.OrderPause)
	n, err := node.Open(
		node.Config{
			Listen:         b.Text("node.listen"),
			Directory:      b.Text("node.directory"),
			StateFolder:    b.Text("node.state"),
			PeerListen:     t.PeerListen,
			PeersAll:       t.PeersAll,
			Peers:          t.Peers,
			KnownEndpoints: t.Known,
		},
		node.Limits{DiskMB: float64(b.Bytes("limits.disk")) / 1e6, Sockets: b.Count("limits.descriptors")},
		node.ClientTimeouts{FirstRequest: b.Span("clients.first"), Request: b.Span("clients.whole"),
			Idle: b.Span("clients.between")},
		s,
		module,
	)
	if err != nil {
		return err
	}
	apply(gate, n, b)
	go follow(replaced, gate, n, platform, own, b)
	return n.Run(ctx)
}

// write puts in force how lines are written.
func write(gate *logs.Gate, b *house.Book) {
	parts := make(map[string]string)
	for _, part := range house.Parts {
		if level := b.Text(house.PartLevel + part); level != "" {
			parts[part] = level
		}
	}
	gate.Set(b.Text("log.format"), b.Text("log.level"), parts, b.Count("log.burst"), b.Span("log.window"))
	logrus.SetLevel(gate.Least())
}

// apply puts every live key in force. Danger: a key marked live that is missing here would be said to be.
func apply(gate *logs.Gate, n *node.Node, b *house.Book) {
	write(gate, b)
	if memory := b.Bytes("limits.memory"); memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * b.Share("limits.heap_part")))
	}
	n.SetDrainTimes(b.Span("drain.door"), b.Span("drain.choose"), b.Span("drain.end"))
	n.SetDirectorySilence(b.Span("directory.silence"))
	n.SetNoticeTimes(b.Span("notices.within"), b.Span("notices.again"))
	n.SetDirectoryAddress(b.Text("node.directory"))
}

// follow reads both files again each time they were replaced, for as long as the process lasts. A bad file
// changes nothing.
func follow(replaced <-chan os.Signal, gate *logs.Gate, n *node.Node, platform, own string, now *house.Book) {
	for range replaced {
		_, _, next, err := read(platform, own)
		if err != nil {
			logs.Part("settings").
				WithError(err).
				Error("the new configuration is passed over, the old one stays")
			continue
		}
		live, restart := now.Changes(next)
		apply(gate, n, next)
		line := logs.Part("settings").WithField("changed", strings.Join(live, " "))
		if len(restart) > 0 {
			line.WithField("restart", strings.Join(restart, " ")).
				Warn("configuration read again; some of it needs a restart")
		} else {
			line.Info("configuration read again")
		}
		now = now.With(next)
	}
}
