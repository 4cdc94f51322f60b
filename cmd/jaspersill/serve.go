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

	"jaspersill/config"
	"jaspersill/logs"
	"jaspersill/node"
	"jaspersill/scheduler"
)

// serve runs the delivery node.
func serve(gate *logs.Formatter, own string, replaced <-chan os.Signal) error {
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
	if len(s.UnknownKeys) > 0 {
		logs.Part("settings").WithField("names", strings.Join(s.UnknownKeys, " ")).
			Info("the platform tells settings that nothing here reads")
	}
	if cores := b.Float("limits.cores"); cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	seed, err := strconv.ParseUint(b.Text("node.seed"), 16, 64)
	if err != nil {
		return err
	}
	module := scheduler.New(seed, s.StreamTypes, s.DestinationKinds, s.Limits, s.Recovery, s.Directory, s.Cluster, s.OrderPause)
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
		node.Limits{DiskMB: float64(b.Bytes("limits.disk")) / 1e6, Sockets: b.Int("limits.descriptors")},
		node.ClientTimeouts{FirstRequest: b.Duration("clients.first"), Request: b.Duration("clients.whole"),
			Idle: b.Duration("clients.between")},
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
func write(gate *logs.Formatter, b *config.Config) {
	parts := make(map[string]string)
	for _, part := range config.LogParts {
		if level := b.Text(config.PartLevelPrefix + part); level != "" {
			parts[part] = level
		}
	}
	gate.Configure(b.Text("log.format"), b.Text("log.level"), parts, b.Int("log.burst"), b.Duration("log.window"))
	logrus.SetLevel(gate.MaxLevel())
}

// apply puts every live key in force. Danger: a key marked live that is missing here would be said to be.
func apply(gate *logs.Formatter, n *node.Node, b *config.Config) {
	write(gate, b)
	if memory := b.Bytes("limits.memory"); memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * b.Float("limits.heap_part")))
	}
	n.SetDrainTimes(b.Duration("drain.door"), b.Duration("drain.choose"), b.Duration("drain.end"))
	n.SetDirectorySilence(b.Duration("directory.silence"))
	n.SetNoticeTimes(b.Duration("notices.within"), b.Duration("notices.again"))
	n.SetDirectoryAddress(b.Text("node.directory"))
}

// follow reads both files again each time they were replaced, for as long as the process lasts. A bad file
// changes nothing.
func follow(replaced <-chan os.Signal, gate *logs.Formatter, n *node.Node, platform, own string, now *config.Config) {
	for range replaced {
		_, _, next, err := read(platform, own)
		if err != nil {
			logs.Part("settings").
				WithError(err).
				Error("the new configuration is passed over, the old one stays")
			continue
		}
		live, restart := now.Diff(next)
		apply(gate, n, next)
		line := logs.Part("settings").WithField("changed", strings.Join(live, " "))
		if len(restart) > 0 {
			line.WithField("restart", strings.Join(restart, " ")).
				Warn("configuration read again; some of it needs a restart")
		} else {
			line.Info("configuration read again")
		}
		now = now.WithReloadable(next)
	}
}
