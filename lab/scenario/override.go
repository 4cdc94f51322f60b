package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// WithKey returns the scenario with one key changed: a path as it stands in the file, with the number of a
// list's item from 0, as fleet.slots or partner.0.limit. The value is written as in the file; quotes may be
// left out.
func (s *Scenario) WithKey(key, value string) (*Scenario, error) {
	text, err := s.Write()
	if err != nil {
		return nil, err
	}
	var all map[string]any
	if err := toml.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	if err := setKey(all, key, strings.Split(key, "."), parseValue(value)); err != nil {
		return nil, err
	}
	if text, err = toml.Marshal(all); err != nil {
		return nil, err
	}
	return Read(key+"="+value, text, nil)
}

// parseValue takes a value as TOML, or as a text where it is none.
func parseValue(value string) any {
	var one struct{ V any }
	if toml.Unmarshal([]byte("V = "+value), &one) == nil {
		return one.V
	}
	return value
}

func setKey(at any, key string, path []string, value any) error {
	last := len(path) == 1
	switch at := at.(type) {
	case map[string]any:
		if last {
			at[path[0]] = value
			return nil
		}
		if next, ok := at[path[0]]; ok {
			return setKey(next, key, path[1:], value)
		}
	case []any:
		if i, err := strconv.Atoi(path[0]); err == nil && i >= 0 && i < len(at) && !last {
			return setKey(at[i], key, path[1:], value)
		}
	}
	return fmt.Errorf("%s: want a key of the scenario, got nothing at %q", key, path[0])
}

// Reference tells the kinds of troubles as Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("| kind | meets | meaning |\n| --- | --- | --- |\n")
	for _, k := range FaultKinds {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", k.Name, k.Meets, k.Meaning)
	}
	return b.String()
}
