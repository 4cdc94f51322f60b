package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"jaspersill/config"
	"jaspersill/errclass"
	"jaspersill/settings"
)

const (
	platformFileEnv = "RELAY_CONFIG"
	stateFolderEnv  = "RELAY_STATE"
	localFileEnv    = "JASPERSILL_FILE"
)

// platformConfig is the configuration file written by the platform.
type platformConfig struct {
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

// readFile is replaced in tests to simulate read failures.
var readFile = os.ReadFile

// readPlatform reads the platform's file and parses the settings in it.
func readPlatform(name string) (p platformConfig, s settings.Settings, err error) {
	text, err := errclass.ReadFile(readFile, name)
	if err == nil {
		err = json.Unmarshal(text, &p)
	}
	if err != nil {
		return p, s, fmt.Errorf("%s: %w", platformFileEnv, err)
	}
	if l := p.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.DiskMB < 0 {
		err = errors.New("limits: want no negative value")
	}
	s, settingsErr := settings.ParseJSON(p.Settings)
	s.Directory.Automatic, s.Directory.RequiresWatch = !s.Directory.RequiresWatch, true // over HTTP, changes always need a watch
	return p, s, errors.Join(err, settingsErr)
}

// configValues returns the platform's values by the keys of package config.
func (p *platformConfig) configValues(stateFolder string) map[string]string {
	size := func(megabytes, bytesPerMB float64) string {
		if megabytes == 0 {
			return ""
		}
		return strconv.FormatInt(int64(megabytes*bytesPerMB), 10) + "B"
	}
	values := map[string]string{"node.name": p.Name, "node.listen": p.Listen, "node.directory": p.Discovery,
		"node.seed": p.Seed, "node.state": stateFolder,
		"limits.memory": size(p.Limits.MemoryMB, 1<<20), "limits.disk": size(p.Limits.DiskMB, 1e6)}
	if p.Limits.Cores > 0 {
		values["limits.cores"] = strconv.FormatFloat(p.Limits.Cores, 'g', -1, 64)
	}
	if p.Limits.Sockets > 0 {
		values["limits.descriptors"] = strconv.Itoa(p.Limits.Sockets)
	}
	return values
}

// readLocal reads the operator's TOML file, if one is given, and the environment.
func readLocal(name string) (*config.Config, error) {
	var text []byte
	if name != "" {
		var err error
		if text, err = errclass.ReadFile(readFile, name); err != nil {
			return nil, err
		}
	}
	return config.Parse(name, text, os.Environ())
}

// readConfig reads both files and validates them together. If it returns an error, nothing from the files may be used.
func readConfig(platformFile, localFile string) (p platformConfig, s settings.Settings, c *config.Config, err error) {
	p, s, err = readPlatform(platformFile)
	local, localErr := readLocal(localFile)
	if err = errors.Join(err, localErr); err != nil {
		return p, s, nil, err
	}
	if c, err = local.WithPlatform(platformFile, p.configValues(os.Getenv(stateFolderEnv))); err != nil {
		return p, s, nil, err
	}
	for _, required := range [][2]string{{"node.listen", "listen"}, {"node.directory", "discovery"},
		{"node.state", stateFolderEnv}, {"node.seed", "seed"}} {
		if c.Text(required[0]) == "" {
			err = errors.Join(err, fmt.Errorf("%s: not set: %s or %s is required",
				required[0], required[1], config.EnvVar(required[0])))
		}
	}
	return p, s, c, err
}
