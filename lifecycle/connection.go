package lifecycle

import "sync"

// Connection is the state of a client connection: whether a request was read from it that has no response yet.
// It is safe for concurrent use.
type Connection struct {
	mu               sync.Mutex
	awaitingResponse bool
}

// MarkRequestRead records that a request was read in full. From then on the client must receive a response.
func (c *Connection) MarkRequestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = true
}

// MarkAnswered records that the response was written, or that the client has disconnected and cannot receive one.
func (c *Connection) MarkAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = false
}

// CheckClose returns a violation if the connection is about to be closed while a request on it has no response.
func (c *Connection) CheckClose(client string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingResponse {
		return violation(transitionClose, client, "a request was read but not answered")
	}
	return nil
}
