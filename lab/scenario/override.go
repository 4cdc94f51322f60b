package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// WithKey returns the scenario with one key changed. The key is a path as in the file, with list items counted from
// 0, such as fleet.slots or partner.0.limit. The value is written as in the file; quotes may be left out.
func (s *Scenario) WithKey(key, value string) (*Scenario, error) {
	text, err := s.Write()
	if err != nil {
		return nil, err
	}
	var doc map[string]any
	if err := toml.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	if err := setKey(doc, key, strings.Split(key, "."), parseValue(value)); err != nil {
		return nil, err
	}
	if text, err = toml.Marshal(doc); err != nil {
		return nil, err
	}
	return Read(key+"="+value, text, nil)
}

// parseValue parses a value as TOML, or takes it as a string if it is not valid TOML.
func parseValue(value string) any {
	var doc struct{ V any }
	if toml.Unmarshal([]byte("V = "+value), &doc) == nil {
		return doc.V
	}
	return value
}

func setKey(node any, key string, path []string, value any) error {
	last := len(path) == 1
	switch node := node.(type) {
	case map[string]any:
		if last {
			node[path[0]] = value
			return nil
		}
		if next, ok := node[path[0]]; ok {
			return setKey(next, key, path[1:], value)
		}
	case []any:
		if i, err := strconv.Atoi(path[0]); err == nil && i >= 0 && i < len(node) && !last {
			return setKey(node[i], key, path[1:], value)
		}
	}
	return fmt.Errorf("%s: want a key of the scenario, found none at %q", key, path[0])
}

// Reference returns the kinds of faults as a Markdown table.
func Reference() string {
	var b strings.Builder
	b.WriteString("| kind | affects | meaning |\n| --- | --- | --- |\n")
	for _, k := range FaultKinds {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", k.Name, k.Target, k.Description)
	}
	return b.String()
}
