// Package door maps ids from outside to small dense indices, which are given out again once released.
package idmap

// Table maps the ids of one kind. The zero value is empty and ready.
type Table[K comparable] struct {
	of   map[K]int32
	ids  []K
	free []int32
}

// Lookup returns the index of an id that was taken.
func (t *Table[K]) Lookup(id K) (int32, bool) {
	i, ok := t.of[id]
	return i, ok
}

// Acquire returns the index of an id and whether it was given out by this call.
func (t *Table[K]) Acquire(id K) (i int32, fresh bool) {
	if i, ok := t.of[id]; ok {
		return i, false
	}
	if t.of == nil {
		t.of = make(map[K]int32)
	}
	if last := len(t.free) - 1; last >= 0 {
		i, t.free = t.free[last], t.free[:last]
		t.ids[i] = id
	} else {
		i = int32(len(t.ids))
		t.ids = append(t.ids, id)
	}
	t.of[id] = i
	return i, true
}

// ID returns the id that an index is given out for.
func (t *Table[K]) ID(i int32) K { return t.ids[i] }

// Len returns how many indices there are, released ones too.
func (t *Table[K]) Len() int { return len(t.ids) }

// Release frees an index; one that is free already stays so.
func (t *Table[K]) Release(i int32) {
	if at, ok := t.of[t.ids[i]]; ok && at == i {
		delete(t.of, t.ids[i])
		var none K
		t.ids[i] = none
		t.free = append(t.free, i)
	}
}
