package membudget

import "sync"

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
	mu     sync.Mutex
	total  int64
	used   int64 // by requests and events
	events int64 // by events
}

// NewBudget returns a budget of this many bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// TryAcquire takes a charge if there is room for it, and reports whether there was. A charge over what it may ever have fits
// while nothing else is held, so that no request is too large for good.
func (b *Budget) TryAcquire(c Charge) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.total
	if !c.small {
		limit -= share(b.total, smallReserve)
	}
	if b.used > 0 && b.used+c.Bytes > limit {
		return false
	}
	if c.event && b.events > 0 && b.events+c.Bytes > share(b.total, eventsShare) {
		return false
	}
	b.take(c)
	return true
}

// Acquire takes a charge in any case: for events that an earlier process has accepted.
func (b *Budget) Acquire(c Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(c)
}

// take adds a charge. The caller holds mu.
func (b *Budget) take(c Charge) {
	b.used += c.Bytes
	if c.event {
		b.events += c.Bytes
	}
}

// Release gives a charge back.
func (b *Budget) Release(c Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= c.Bytes
	if c.event {
		b.events -= c.Bytes
	}
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Total returns the size of the budget.
func (b *Budget) Total() int64 { return b.total }
