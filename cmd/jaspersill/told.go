package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"jaspersill/errclass"
	"jaspersill/house"
	"jaspersill/start"
)

const (
	platformFile = "RELAY_CONFIG"
	stateFolder  = "RELAY_STATE"
	ownFile      = "JASPERSILL_FILE"
)

// told is what the platform's file says.
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

// readFile is how files are read; tests put one that fails in its place.
var readFile = os.ReadFile

// readPlatform reads the platform's file and checks what it says of the node's terms.
func readPlatform(name string) (t told, s start.Start, err error) {
	text, err := errclass.ReadFile(readFile, name)
	if err == nil {
		err = json.Unmarshal(text, &t)
	}
	if err != nil {
		return t, s, fmt.Errorf("%s: %w", platformFile, err)
	}
	if l := t.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.DiskMB < 0 {
		err = errors.New("limits: none may be under 0")
	}
	s, bad := start.JSON(t.Settings)
	s.Directory.Automatic, s.Directory.RequiresWatch = !s.Directory.RequiresWatch, true // on sockets every change is asked for
	return t, s, errors.Join(err, bad)
}

// byKey is what the platform tells, by the keys of the installation's own file.
func (t *told) byKey(folder string) map[string]string {
	size := func(megabytes, of float64) string {
		if megabytes == 0 {
			return ""
		}
		return strconv.FormatInt(int64(megabytes*of), 10) + "B"
	}
	keys := map[string]string{"node.name": t.Name, "node.listen": t.Listen, "node.directory": t.Discovery,
		"node.seed": t.Seed, "node.state": folder,
		"limits.memory": size(t.Limits.MemoryMB, 1<<20), "limits.disk": size(t.Limits.DiskMB, 1e6)}
	if t.Limits.Cores > 0 {
		keys["limits.cores"] = strconv.FormatFloat(t.Limits.Cores, 'g', -1, 64)
	}
	if t.Limits.Sockets > 0 {
		keys["limits.descriptors"] = strconv.Itoa(t.Limits.Sockets)
	}
	return keys
}

// readOwn reads the installation's own file, if one is named, and the environment.
func readOwn(name string) (*house.Book, error) {
	var text []byte
	if name != "" {
		var err error
		if text, err = errclass.ReadFile(readFile, name); err != nil {
			return nil, err
		}
	}
	return house.Read(name, text, os.Environ())
}

// read reads both files and checks them as a whole. Danger: of a bad one nothing may be used.
func read(platform, own string) (t told, s start.Start, b *house.Book, err error) {
	t, s, err = readPlatform(platform)
	book, bad := readOwn(own)
	if err = errors.Join(err, bad); err != nil {
		return t, s, nil, err
	}
	if b, err = book.Told(platform, t.byKey(os.Getenv(stateFolder))); err != nil {
		return t, s, nil, err
	}
	for _, needed := range [][2]string{{"node.listen", "listen"}, {"node.directory", "discovery"},
		{"node.state", stateFolder}, {"node.seed", "seed"}} {
		if b.Text(needed[0]) == "" {
			err = errors.Join(err, fmt.Errorf("%s: nobody told it: %s or %s is needed",
				needed[0], needed[1], house.Variable(needed[0])))
		}
	}
	return t, s, b, err
}
