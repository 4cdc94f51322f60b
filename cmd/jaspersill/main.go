// Command jaspersill is a delivery node. It reads what it is told at its start from the file that
// RELAY_CONFIG names, and serves until SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/sirupsen/logrus"

	"jaspersill/choice"
	"jaspersill/node"
	"jaspersill/start"
)

// memoryPart is the part of the memory limit that the heap may fill: stacks, sockets and files need the rest.
const memoryPart = 0.6

// told is what the configuration's file says.
type told struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
		DiskMB   float64 `json:"disk_mb"`
	}
	PeerListen string `json:"peer_listen"`
	Peers      []string
	PeersAll   string `json:"peers_all"`
	Known      json.RawMessage
	Settings   json.RawMessage
}

func main() {
	// Danger: uncaught, the signal that says that the file was replaced ends the process, at whatever moment.
	replaced := make(chan os.Signal, 1)
	signal.Notify(replaced, syscall.SIGHUP)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	if err := run(replaced); err != nil {
		logrus.Error(err)
		os.Exit(1)
	}
}

// read reads the file and checks it as a whole. Danger: of a bad one nothing may be used.
func read(name string) (t told, s start.Start, err error) {
	text, err := os.ReadFile(name)
	if err == nil {
		err = json.Unmarshal(text, &t)
	}
	if err != nil {
		return t, s, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	for what, address := range map[string]string{"listen": t.Listen, "discovery": t.Discovery} {
		_, port, err := net.SplitHostPort(address)
		if err == nil {
			_, err = strconv.ParseUint(port, 10, 16)
		}
		if err != nil {
			return t, s, fmt.Errorf("%s: want HOST:PORT: %w", what, err)
		}
	}
	l := t.Limits
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.DiskMB < 0 {
		return t, s, errors.New("limits: none may be under 0")
	}
	if s, err = start.JSON(t.Settings); err != nil {
		return t, s, err
	}
	s.Directory.Asked = true // on sockets every change is asked for
	return t, s, nil
}

func run(replaced <-chan os.Signal) error {
	name, folder := os.Getenv("RELAY_CONFIG"), os.Getenv("RELAY_STATE")
	t, s, err := read(name)
	if err != nil {
		return err
	}
	if folder == "" {
		return errors.New("RELAY_STATE is needed")
	}
	seed, err := strconv.ParseUint(t.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: want up to 16 hex digits: %w", err)
	}
	if t.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(t.Limits.Cores)))
	}
	if t.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(t.Limits.MemoryMB * memoryPart * (1 << 20)))
	}
	module := choice.New(seed, s.Types, s.Partners, s.Room, s.Recovery, s.Directory, s.Fleet, s.OrderPause)
	n, err := node.Open(
		node.Place{Listen: t.Listen, Directory: t.Discovery, Folder: folder, PeerListen: t.PeerListen,
			PeersAll: t.PeersAll, Peers: t.Peers, Known: t.Known},
		node.Limits{DiskMB: t.Limits.DiskMB, Sockets: t.Limits.Sockets}, s, module)
	if err != nil {
		return err
	}
	go follow(replaced, name, n.Move)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx)
}

// follow reads the file again each time it was replaced, for as long as the process lasts. Only where the
// directory is can change under way; a bad file changes nothing.
func follow(replaced <-chan os.Signal, name string, move func(directory string)) {
	for range replaced {
		if t, _, err := read(name); err != nil {
			logrus.WithError(err).Error("the new configuration is passed over, the old one stays")
		} else {
			logrus.WithField("discovery", t.Discovery).Info("configuration read again; the rest needs a restart")
			move(t.Discovery)
		}
	}
}
