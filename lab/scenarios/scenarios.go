// Package scenarios contains the lab's built-in scenarios.
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

// Names returns the names of the built-in scenarios in alphabetical order.
func Names() (names []string) {
	list, _ := fs.Glob(files, "*.toml")
	for _, name := range list {
		names = append(names, strings.TrimSuffix(name, ".toml"))
	}
	return names
}

// Find reads a scenario: a file if the name ends in .toml, otherwise a built-in one. A file's base scenario may be a
// built-in one or a file in the same folder.
func Find(name string) (*scenario.Scenario, error) {
	if strings.HasSuffix(name, ".toml") {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		findBase := func(base string) ([]byte, error) {
			if text, err := builtin(base); err == nil {
				return text, nil
			}
			return os.ReadFile(filepath.Join(filepath.Dir(name), strings.TrimSuffix(base, ".toml")+".toml"))
		}
		return scenario.Read(name, text, findBase)
	}
	text, err := builtin(name)
	if err != nil {
		return nil, err
	}
	return scenario.Read(name+".toml", text, builtin)
}

// builtin returns the text of a built-in scenario.
func builtin(name string) ([]byte, error) {
	text, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("scenario %q: want a file name ending in .toml, or one of %s", name,
			strings.Join(Names(), ", "))
	}
	return text, nil
}
