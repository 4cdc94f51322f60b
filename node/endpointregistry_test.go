package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"jaspersill/delivery"
)

// Guards against a new process at the host or the address of one that is gone, which is taken for that one.
func TestRegistryTellsProcessesApart(t *testing.T) {
	const early, late = 5000, 9000 // ms
	ready := func(host, address string, startedAt int64, dest uint32) *listEntry {
		return &listEntry{endpointIdentity: endpointIdentity{host, startedAt, dest}, address: address, state: delivery.Ready}
	}
	leaving := func(host string, startedAt int64, state delivery.EndpointState) *listEntry {
		return &listEntry{endpointIdentity: endpointIdentity{host, startedAt, 1}, state: state}
	}
	for name, c := range map[string]struct {
		lists [][]*listEntry
		want  string // of the last list: each entry's index and state, and the endpoints that are gone because of it
	}{
		"the same process again":              {[][]*listEntry{{ready("a", "x", early, 1)}, {ready("a", "x", early, 1)}}, "0 ready"},
		"its start is long ago by now":        {[][]*listEntry{{ready("a", "x", early, 1)}, {ready("a", "x", 0, 1)}}, "0 ready"},
		"its start time was computed anew":    {[][]*listEntry{{ready("a", "x", early, 1)}, {ready("a", "x", early+startTimeTolerance, 1)}}, "0 ready"},
		"it moved":                            {[][]*listEntry{{ready("a", "x", early, 1)}, {ready("a", "y", early, 1)}}, "0 ready"},
		"the host was started again":          {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("a", "x", late, 1)}}, "1 ready, gone a"},
		"the host serves another destination": {[][]*listEntry{{ready("a", "x", early, 1)}, {ready("a", "x", early, 2)}}, "1 ready, gone a@5000"},
		"another host took over the address":  {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("b", "x", late, 2)}}, "1 ready, gone a"},
		"without a start time":                {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("b", "x", 0, 2)}}, "1 ready, gone a"},
		"the old one is still listed, behind it": {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("b", "x", late, 2), ready("a", "x", 0, 1)}},
			"1 ready, gone a; 0 gone"},
		"the old one is still listed, before it": {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("a", "x", 0, 1), ready("b", "x", 0, 2)}},
			"0 ready; 1 ready, gone a"},
		"it is listed again later": {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("b", "x", 0, 2)}, {ready("a", "x", 0, 1)}}, "0 gone"},
		"a newer one without a start time": {[][]*listEntry{{ready("a", "x", late, 1)}, {ready("b", "x", 0, 2), ready("a", "x", late, 1)}},
			"1 ready, gone a@9000; 0 gone"},
		"both are new to this node": {[][]*listEntry{{ready("a", "x", late, 1), ready("b", "x", 0, 2)}}, "0 ready; 1 gone"},
		"it was gone and came back": {[][]*listEntry{{ready("b", "x", 0, 2)}, {leaving("b", 0, delivery.Gone)}, {ready("a", "x", 0, 1)},
			{ready("b", "x", 0, 2)}}, "0 ready, gone a"},
		"it has the address to itself again": {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("b", "x", 0, 2)},
			{leaving("b", 0, delivery.Gone), ready("a", "x", 0, 1)}}, "1 gone; 0 ready"},
		"two hosts share an address from the start": {[][]*listEntry{{ready("a", "x", 0, 1), ready("b", "x", 0, 1)},
			{ready("a", "x", 0, 1), ready("b", "x", 0, 1)}}, "0 ready; 1 ready"},
		"the end of the process before": {[][]*listEntry{{ready("a", "x", early, 1)}, {ready("a", "x", late, 1)}, {leaving("a", early, delivery.Gone)}}, ""},
		"a new one that drains at once": {[][]*listEntry{{ready("a", "x", 0, 1)}, {ready("a", "x", 0, 1),
			{endpointIdentity: endpointIdentity{"b", late, 2}, address: "x", state: delivery.Draining}}}, "0 ready; 1 draining, gone a"},
		"it drains": {[][]*listEntry{{ready("a", "x", early, 1)}, {leaving("a", early, delivery.Draining)}}, "0 draining"},
	} {
		var r endpointRegistry
		var got []string
		for _, list := range c.lists {
			r.beginList(false)
			got = nil
			for _, entry := range list {
				e, state, _, gone := r.update(entry)
				if e == nil {
					continue
				}
				text := fmt.Sprint(e.index, " ", map[delivery.EndpointState]string{delivery.Ready: "ready", delivery.Gone: "gone",
					delivery.Draining: "draining"}[state])
				for _, old := range gone {
					text += ", gone " + old.String()
				}
				got = append(got, text)
			}
		}
		if text := strings.Join(got, "; "); text != c.want {
			t.Errorf("%s: got %q, want %q", name, text, c.want)
		}
	}
}

// Guards against endpoints that a whole list leaves out and that keep their connections, and against a message of a peer about an
// earlier process of a host.
func TestRegistryForgetsWhatIsNotListed(t *testing.T) {
	var r endpointRegistry
	r.beginList(true)
	for _, host := range []string{"a", "b"} {
		r.update(&listEntry{endpointIdentity: endpointIdentity{host, 7000, 1}, address: host, state: delivery.Ready})
	}
	r.beginList(true)
	r.update(&listEntry{endpointIdentity: endpointIdentity{"b", 9000, 1}, address: "b", state: delivery.Ready})
	var gone []string
	for _, e := range r.endWholeList() {
		gone = append(gone, e.String())
	}
	if !slices.Equal(gone, []string{"a@7000"}) || len(r.endWholeList()) > 0 {
		t.Errorf("gone: %v, want a@7000 once", gone)
	}
	for name, want := range map[string]bool{"b@9000": true, "b@9001": true, "b@7000": false, "b": false, "a@7000": true, "c": false} {
		if _, known := r.lookup(name); known != want {
			t.Errorf("%s is known: %v, want %v", name, known, want)
		}
	}
	index, _ := r.lookup("a@7000")
	r.release(index)
	if _, known := r.lookup("a@7000"); known {
		t.Error("a released endpoint is still known")
	}
}
