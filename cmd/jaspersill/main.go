// Command jaspersill is a delivery node. It reads what it is told at its start from the file that
// RELAY_CONFIG names, and serves until SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
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

func main() {
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	if err := run(); err != nil {
		logrus.Error(err)
		os.Exit(1)
	}
}

func run() error {
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	var told struct {
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
	if err := json.Unmarshal(text, &told); err != nil {
		return fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	folder := os.Getenv("RELAY_STATE")
	if folder == "" || told.Listen == "" || told.Discovery == "" {
		return errors.New("RELAY_STATE, listen and discovery are all needed")
	}
	s, err := start.JSON(told.Settings)
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(told.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: want up to 16 hex digits: %w", err)
	}
	if told.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(told.Limits.Cores)))
	}
	if told.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(told.Limits.MemoryMB * memoryPart * (1 << 20)))
	}
	s.Directory.Asked = true // on sockets every change is asked for
	module := choice.New(seed, s.Types, s.Partners, s.Room, s.Recovery, s.Directory, s.Fleet, s.OrderPause)
	n, err := node.Open(
		node.Place{Listen: told.Listen, Directory: told.Discovery, Folder: folder, PeerListen: told.PeerListen,
			PeersAll: told.PeersAll, Peers: told.Peers, Known: told.Known},
		node.Limits{DiskMB: told.Limits.DiskMB, Sockets: told.Limits.Sockets}, s, module)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx)
}
