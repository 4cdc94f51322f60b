// Package membudget divides the memory limit of a node among what it holds, and keeps account of the part that its clients'
// requests take. Everything that a client can make the node hold has a place in the plan: connections with their buffers
// and goroutines, headers and bodies, accepted events, remembered ids, and the queues of the kernel.
package membudget

// Plan says how much of a node's memory each kind of holder may take.
type Plan struct {
	GoBytes               int64 // for the Go runtime: heap, stacks and its own structures; 0 for no limit
	ClientConns           int   // clients' connections
	IdleEndpointConns     int   // idle connections to endpoints
	RequestBytes          int64 // requests from their complete header on, and events until their end
	ClientBacklog         int   // clients' connections that wait to be accepted
	RememberedIDs         int   // ids of ended events
	ClientReceiveBuffer   int   // bytes that the kernel queues for one connection of a client
	ClientSendBuffer      int
	EndpointReceiveBuffer int // bytes that the kernel queues for one connection to an endpoint
	ListBytes             int // one list of endpoints
}

// Limits is what a plan is made for.
type Limits struct {
	MemoryBytes       int64   // of the process; 0 for no limit
	FileBytes         int64   // largest size of the state folder
	GoShare           float64 // largest share of MemoryBytes for the Go runtime; 0 for what the other parts leave
	ClientConns       int     // what the descriptors allow
	IdleEndpointConns int
}

const (
	kib = int64(1) << 10
	mib = int64(1) << 20

	programBytes = 15 * mib / 2 // resident code and data of the program and the C library
	goBaseBytes  = 5 * mib      // Go memory of a node under its usual traffic, without what clients hold

	maxFileShare   = 0.25 // of the memory that files count for: the page cache can give up the rest
	kernelShare    = 0.25 // of the memory that is left for the kernel's queues
	usableShare    = 0.85 // of the Go memory left for what is in use: the rest is garbage until the next collection
	connsShare     = 0.55 // of the usable memory for clients' connections
	idsShare       = 0.12 // of the usable memory for remembered ids
	endpointsShare = 0.07 // of the usable memory for idle connections to endpoints

	clientConnBytes   = 12 * kib // goroutine, read buffer and structures of a client's connection
	endpointConnBytes = 6 * kib  // the same of an idle connection to an endpoint
	idBytes           = 256      // of a remembered id, in the journal's index and in the node

	clientKernelShare = 0.88 // of the kernel's queues for clients' connections; the rest is for endpoints
	sendShare         = 0.3  // of a client connection's queues for responses, which are shorter than requests
	backlogShare      = 0.55 // connections that may wait to be accepted, by those that may be open
	minClientBacklog  = 256  // fewer would turn a burst of clients away, which then try again after a second
	minKernelBuffer   = 2 * kib
	maxKernelBuffer   = 64 * kib
	kernelOverhead    = 2 // the kernel charges up to twice the payload

	minClientConns       = 16
	minIdleEndpointConns = 8
	minRequestBytes      = MaxRequestBytes // one request of the largest size can always be read

	listShare    = 1.0 / 32 // of the memory limit for one list of endpoints, which takes several times its size while parsed
	minListBytes = 1 * mib
	maxListBytes = 16 * mib

	// unlimitedMemory is assumed where no limit is configured.
	unlimitedMemory = 1 << 30
)

// NewPlan divides a memory limit.
func NewPlan(l Limits) Plan {
	memory := l.MemoryBytes
	if memory <= 0 {
		memory = unlimitedMemory
	}
	files := min(l.FileBytes, share(memory, maxFileShare))
	available := max(0, memory-programBytes-files)
	kernel := share(available, kernelShare)
	goBytes := available - kernel
	if l.GoShare > 0 {
		goBytes = min(goBytes, share(memory, l.GoShare))
	}
	usable := share(max(0, goBytes-goBaseBytes), usableShare)
	p := Plan{
		ClientConns:       clampCount(share(usable, connsShare)/clientConnBytes, minClientConns, l.ClientConns),
		IdleEndpointConns: clampCount(share(usable, endpointsShare)/endpointConnBytes, minIdleEndpointConns, l.IdleEndpointConns),
		RememberedIDs:     int(share(usable, idsShare) / idBytes),
		ListBytes:         int(min(max(share(memory, listShare), minListBytes), maxListBytes)),
	}
	if l.MemoryBytes > 0 {
		p.GoBytes = max(goBytes, goBaseBytes)
	}
	taken := int64(p.ClientConns)*clientConnBytes + int64(p.IdleEndpointConns)*endpointConnBytes + int64(p.RememberedIDs)*idBytes
	p.RequestBytes = max(usable-taken, minRequestBytes)
	p.ClientBacklog = max(minClientBacklog, int(share(int64(p.ClientConns), backlogShare)))
	clientQueues := share(kernel, clientKernelShare) / kernelOverhead
	p.ClientSendBuffer = kernelBuffer(share(clientQueues, sendShare) / int64(p.ClientConns))
	// Nothing is sent on a connection that waits to be accepted.
	p.ClientReceiveBuffer = kernelBuffer((clientQueues - int64(p.ClientConns*p.ClientSendBuffer)) / int64(p.ClientConns+p.ClientBacklog))
	endpointQueue := share(kernel, 1-clientKernelShare) / kernelOverhead / int64(max(1, p.IdleEndpointConns))
	p.EndpointReceiveBuffer = kernelBuffer(endpointQueue)
	return p
}

func share(total int64, part float64) int64 { return int64(float64(total) * part) }

// clampCount bounds a number that the memory allows by what else allows it, but not below a minimum.
func clampCount(byMemory int64, minimum, allowed int) int {
	return int(min(max(byMemory, int64(minimum)), int64(max(allowed, minimum))))
}

func kernelBuffer(size int64) int { return int(min(max(size, minKernelBuffer), maxKernelBuffer)) }
