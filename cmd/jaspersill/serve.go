package main

import (
	"context"
	"math"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"

	"jaspersill/config"
	"jaspersill/logs"
	"jaspersill/node"
	"jaspersill/scheduler"
)

func init() {
	runtime.MemProfileRate = 0 // the table of a memory profile, which is never read, takes over a megabyte
}

// serve runs the delivery node.
func serve(formatter *logs.Formatter, localFile string, reload <-chan os.Signal) error {
	// Catch SIGTERM before anything is opened: otherwise it would kill the process in the middle of its start-up.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	platformFile := os.Getenv(platformFileEnv)
	p, s, c, err := readConfig(platformFile, localFile)
	if err != nil {
		return err
	}
	configureLogs(formatter, c)
	stopReports := make(chan struct{})
	defer close(stopReports)
	go formatter.Run(logrus.StandardLogger(), stopReports)
	if len(s.UnknownKeys) > 0 {
		logs.Part("settings").WithField("names", strings.Join(s.UnknownKeys, " ")).
			Info("ignoring unknown settings from the platform")
	}
	if cores := c.Float("limits.cores"); cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	seed, err := strconv.ParseUint(c.Text("node.seed"), 16, 64)
	if err != nil {
		return err
	}
	sched := scheduler.New(seed, s.StreamTypes, s.DestinationKinds, s.Limits, s.Recovery, s.Directory, s.Cluster, s.OrderPause)
	n, err := node.Open(
		node.Config{
			Listen:         c.Text("node.listen"),
			Directory:      c.Text("node.directory"),
			StateFolder:    c.Text("node.state"),
			PeerListen:     p.PeerListen,
			PeersAll:       p.PeersAll,
			Peers:          p.Peers,
			KnownEndpoints: p.Known,
		},
		node.Limits{DiskMB: float64(c.Bytes("limits.disk")) / 1e6, Sockets: c.Int("limits.descriptors"),
			MemoryBytes: c.Bytes("limits.memory"), GoShare: c.Float("limits.heap_part")},
		node.ClientTimeouts{FirstRequest: c.Duration("clients.first"), Request: c.Duration("clients.whole"),
			Idle: c.Duration("clients.between")},
		s,
		sched,
	)
	if err != nil {
		return err
	}
	applyReloadable(formatter, n, c)
	go reloadOnSignal(reload, formatter, n, platformFile, localFile, c)
	return n.Run(ctx)
}

// configureLogs applies the log configuration.
func configureLogs(formatter *logs.Formatter, c *config.Config) {
	parts := make(map[string]string)
	for _, part := range config.LogParts {
		if level := c.Text(config.PartLevelPrefix + part); level != "" {
			parts[part] = level
		}
	}
	formatter.Configure(c.Text("log.format"), c.Text("log.level"), parts, c.Int("log.burst"), c.Duration("log.window"))
	logrus.SetLevel(formatter.MaxLevel())
}

// applyReloadable applies every reloadable key. A reloadable key that is missing here would be reported as changed
// without taking effect.
func applyReloadable(formatter *logs.Formatter, n *node.Node, c *config.Config) {
	configureLogs(formatter, c)
	n.SetGoShare(c.Float("limits.heap_part"))
	n.SetDrainTimes(c.Duration("drain.door"), c.Duration("drain.choose"), c.Duration("drain.end"))
	n.SetDirectorySilence(c.Duration("directory.silence"))
	n.SetNoticeTimes(c.Duration("notices.within"), c.Duration("notices.again"))
	n.SetDirectoryAddress(c.Text("node.directory"))
}

// reloadOnSignal reads both files again on each signal, until the process exits. If either is invalid, nothing changes.
func reloadOnSignal(reload <-chan os.Signal, formatter *logs.Formatter, n *node.Node, platformFile, localFile string, current *config.Config) {
	for range reload {
		_, _, next, err := readConfig(platformFile, localFile)
		if err != nil {
			logs.Part("settings").
				WithError(err).
				Error("the new configuration is invalid; keeping the current one")
			continue
		}
		live, restart := current.Diff(next)
		applyReloadable(formatter, n, next)
		line := logs.Part("settings").WithField("changed", strings.Join(live, " "))
		if len(restart) > 0 {
			line.WithField("restart", strings.Join(restart, " ")).
				Warn("configuration reloaded; some changes need a restart")
		} else {
			line.Info("configuration reloaded")
		}
		current = current.WithReloadable(next)
	}
}
