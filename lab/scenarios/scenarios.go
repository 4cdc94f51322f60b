// Package scenarios holds the lab's own scenarios.
package scenarios

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"jaspersill/lab/scenario"
)

//go:embed *.toml
var files embed.FS

// Names are the scenarios' names, in order.
func Names() (names []string) {
	list, _ := fs.Glob(files, "*.toml")
	for _, name := range list {
		names = append(names, strings.TrimSuffix(name, ".toml"))
	}
	return names
}

// Find reads a scenario: a file where the name ends in .toml, else one of the lab's own.
func Find(name string) (*scenario.Scenario, error) {
	if strings.HasSuffix(name, ".toml") {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		near := func(like string) ([]byte, error) {
			if text, err := builtin(like); err == nil {
				return text, nil
			}
			return os.ReadFile(filepath.Join(filepath.Dir(name), strings.TrimSuffix(like, ".toml")+".toml"))
		}
		return scenario.Read(name, text, near)
	}
	text, err := builtin(name)
	if err != nil {
		return nil, err
	}
	return scenario.Read(name+".toml", text, builtin)
}

func builtin(name string) ([]byte, error) {
	text, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("scenario %q: want a file that ends in .toml, or one of %s", name,
			strings.Join(Names(), ", "))
	}
	return text, nil
}
