package lifecycle

import "sync"

// Connection is the state of a client's connection: whether a request has been read from it and not been answered.
// It may be used by any goroutine.
type Connection struct {
	mu               sync.Mutex
	awaitingResponse bool
}

// MarkRequestRead notes that a request has been read whole. From now on its client is owed an answer.
func (c *Connection) MarkRequestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = true
}

// MarkAnswered notes that an answer was written, or that the client has gone, so that nobody can hear it.
func (c *Connection) MarkAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = false
}

// CheckClose checks that the connection may be closed: no request that was read is without its answer.
func (c *Connection) CheckClose(client string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingResponse {
		return violation(transitionClose, client, "a request was read and not answered")
	}
	return nil
}
