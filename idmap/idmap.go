// Package idmap maps external ids to small dense indices. A released index is reused for a later id.
package idmap

// Table maps the ids of one kind. The zero value is empty and ready to use.
type Table[K comparable] struct {
	index map[K]int32
	ids   []K
	free  []int32
}

// Lookup returns the index assigned to id and whether there is one.
func (t *Table[K]) Lookup(id K) (int32, bool) {
	i, ok := t.index[id]
	return i, ok
}

// Acquire returns the index of id, assigning one if needed. fresh reports whether this call assigned it.
func (t *Table[K]) Acquire(id K) (i int32, fresh bool) {
	if i, ok := t.index[id]; ok {
		return i, false
	}
	if t.index == nil {
		t.index = make(map[K]int32)
	}
	if last := len(t.free) - 1; last >= 0 {
		i, t.free = t.free[last], t.free[:last]
		t.ids[i] = id
	} else {
		i = int32(len(t.ids))
		t.ids = append(t.ids, id)
	}
	t.index[id] = i
	return i, true
}

// ID returns the id that index i is assigned to, or the zero value if i has been released.
func (t *Table[K]) ID(i int32) K { return t.ids[i] }

// Len returns the number of indices ever assigned, including released ones.
func (t *Table[K]) Len() int { return len(t.ids) }

// Release frees index i for reuse. Releasing a free index has no effect.
func (t *Table[K]) Release(i int32) {
	if current, ok := t.index[t.ids[i]]; ok && current == i {
		delete(t.index, t.ids[i])
		var zero K
		t.ids[i] = zero
		t.free = append(t.free, i)
	}
}
