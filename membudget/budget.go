package membudget

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxRequestBytes is the charge of a request with the largest body, twice the body and what any request takes.
	MaxRequestBytes = 2*64<<10 + requestBytes

	requestBytes   = 12 << 10 // parsed header, response and structures of a request
	eventBytes     = 8 << 10  // goroutine, channel and structures of an accepted event
	bodyCopies     = 2        // a body is held as it was read, and as it is kept or written
	chunkedCopies  = 4        // a buffer of unknown size doubles as it grows
	smallBodyBytes = 4 << 10  // largest body of a small request
	smallReserve   = 0.25     // share of the budget that only small requests may use
	eventsShare    = 0.75     // share of the budget that accepted events may take, so that requests can be read
)

// ReadCharge returns what a request takes while it is read and answered. size is the length of its body, or the largest
// allowed one for a chunked body.
func ReadCharge(size int, chunked bool) Charge {
	copies := int64(bodyCopies)
	if chunked {
		copies = chunkedCopies
	}
	return Charge{Bytes: requestBytes + copies*int64(size), small: size <= smallBodyBytes && !chunked}
}

// EventCharge returns what an accepted event takes until its end.
func EventCharge(size int) Charge {
	return Charge{Bytes: eventBytes + int64(size), small: size <= smallBodyBytes, event: true}
}

// Charge is an amount of memory that a request or an event takes.
type Charge struct {
	Bytes int64
	small bool
	event bool
}

// Budget keeps account of the memory that requests and events take. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	total   int64
	used    int64     // by requests and events
	events  int64     // by events
	waiting []*waiter // in order of arrival
}

// waiter is an Acquire that waits for room.
type waiter struct {
	charge  Charge
	granted chan struct{} // closed once the charge is taken
}

// NewBudget returns a budget of this many bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// TryAcquire takes a charge if there is room for it, and reports whether there was. A charge over what it may ever have fits
// while nothing else is held, so that no request is too large for good.
func (b *Budget) TryAcquire(c Charge) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(c) {
		return false
	}
	b.take(c)
	return true
}

// Acquire takes a charge as soon as there is room for it, and reports whether there was before the time-out. Of those that wait,
// the first that fits is served first.
func (b *Budget) Acquire(c Charge, timeout time.Duration) bool {
	b.mu.Lock()
	if b.fits(c) {
		b.take(c)
		b.mu.Unlock()
		return true
	}
	w := &waiter{charge: c, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
		return b.giveUp(w)
	}
}

// giveUp ends the waiting for a charge, and reports whether it was granted meanwhile.
func (b *Budget) giveUp(w *waiter) (granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return false
}

// Take takes a charge in any case: for events that an earlier process has accepted.
func (b *Budget) Take(c Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(c)
}

// Release gives a charge back.
func (b *Budget) Release(c Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= c.Bytes
	if c.event {
		b.events -= c.Bytes
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if !b.fits(w.charge) {
			return false
		}
		b.take(w.charge)
		close(w.granted)
		return true
	})
}

// fits reports whether there is room for a charge. The caller holds mu.
func (b *Budget) fits(c Charge) bool {
	limit := b.total
	if !c.small {
		limit -= share(b.total, smallReserve)
	}
	if b.used > 0 && b.used+c.Bytes > limit {
		return false
	}
	return !c.event || b.events == 0 || b.events+c.Bytes <= share(b.total, eventsShare)
}

// take adds a charge. The caller holds mu.
func (b *Budget) take(c Charge) {
	b.used += c.Bytes
	if c.event {
		b.events += c.Bytes
	}
}

// IsAwaited reports whether anything waits for room.
func (b *Budget) IsAwaited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) > 0
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Total returns the size of the budget.
func (b *Budget) Total() int64 { return b.total }
