package sysfault

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is a kind of system call that faults can be injected into.
type Call string

// The kinds of calls. Reads and writes are distinguished by what their descriptor refers to.
const (
	FileWrite    Call = "file-write"
	FileRead     Call = "file-read"
	FileOpen     Call = "file-open"
	FileTruncate Call = "file-truncate"
	FileRemove   Call = "file-remove"
	FileRename   Call = "file-rename"
	FileSync     Call = "file-sync"
	SocketWrite  Call = "socket-write"
	SocketRead   Call = "socket-read"
	SocketOpen   Call = "socket-open"
	Accept       Call = "accept"
	Connect      Call = "connect"
	otherCall    Call = ""
)

var interceptedCalls = map[int]Call{
	unix.SYS_WRITE:     FileWrite, // or SocketWrite
	unix.SYS_READ:      FileRead,  // or SocketRead
	unix.SYS_OPENAT:    FileOpen,
	unix.SYS_FTRUNCATE: FileTruncate,
	unix.SYS_UNLINKAT:  FileRemove,
	unix.SYS_RENAMEAT:  FileRename,
	unix.SYS_RENAMEAT2: FileRename,
	unix.SYS_FSYNC:     FileSync,
	unix.SYS_SOCKET:    SocketOpen,
	unix.SYS_ACCEPT4:   Accept,
	unix.SYS_CONNECT:   Connect,
}

// Fault describes what happens to calls of one kind until a given time.
type Fault struct {
	Call        Call
	Errno       syscall.Errno // 0 for a call that is only delayed
	Probability float64       // for each call; 0 means every call
	Short       bool          // half of the first write is written, and the next call fails
	Delay       time.Duration
	Until       time.Time
}

// Supervisor injects faults into the system calls of one child process.
type Supervisor struct {
	listener int
	done     chan struct{}
	faulted  atomic.Int64

	mu     sync.Mutex
	folder string
	faults []Fault
}

// LimitFileFaults sets the folder whose files are subject to file faults. Without a folder there are no file faults,
// because a program has to read other files to load.
func (s *Supervisor) LimitFileFaults(folder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.folder = folder
}

// Add puts a fault in force until its Until time.
func (s *Supervisor) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// FaultCount returns the number of calls that were failed, shortened or delayed.
func (s *Supervisor) FaultCount() int64 { return s.faulted.Load() }

// Wait waits until the child has exited.
func (s *Supervisor) Wait() { <-s.done }

// notification and response are the kernel's seccomp_notif and seccomp_notif_resp.
type notification struct {
	id        uint64
	pid       uint32
	flags     uint32
	number    int32
	arch      uint32
	ip        uint64
	arguments [6]uint64
}

type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

const pollMilliseconds = 200

func (s *Supervisor) run() {
	defer close(s.done)
	defer unix.Close(s.listener)
	for {
		ready := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(ready, pollMilliseconds); err != nil && err != unix.EINTR {
			return
		}
		if ready[0].Revents&unix.POLLIN == 0 {
			if ready[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0 {
				return
			}
			continue
		}
		var n notification
		if err := s.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)); err != nil {
			continue // the call was interrupted or its thread exited
		}
		s.decide(&n)
	}
}

func (s *Supervisor) ioctl(request uintptr, argument unsafe.Pointer) error {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), request, uintptr(argument))
	if errno != 0 {
		return errno
	}
	return nil
}

func (s *Supervisor) respond(r response) { s.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)) }

func (s *Supervisor) proceed(id uint64) {
	s.respond(response{id: id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE})
}

// decide lets a call proceed or injects the fault in force.
func (s *Supervisor) decide(n *notification) {
	fault := s.faultFor(n)
	if fault == nil {
		s.proceed(n.id)
		return
	}
	s.faulted.Add(1)
	switch {
	case fault.Errno == 0:
		time.AfterFunc(fault.Delay, func() { s.proceed(n.id) })
	case fault.Short && s.shorten(n):
	default:
		s.respond(response{id: n.id, errno: -int32(fault.Errno)})
	}
}

func (s *Supervisor) faultFor(n *notification) *Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return nil
	}
	now := time.Now()
	kept := s.faults[:0]
	for _, f := range s.faults {
		if now.Before(f.Until) {
			kept = append(kept, f)
		}
	}
	s.faults = kept
	if len(kept) == 0 {
		return nil
	}
	call := s.classify(n)
	if call == otherCall {
		return nil
	}
	for i := range s.faults {
		f := s.faults[i]
		if f.Call == call && (f.Probability == 0 || rand.Float64() < f.Probability) {
			return &f
		}
	}
	return nil
}

// classify returns the kind of a call. The caller holds s.mu.
func (s *Supervisor) classify(n *notification) Call {
	call := interceptedCalls[int(n.number)]
	switch call {
	case FileWrite, FileRead, FileTruncate, FileSync:
		target, err := os.Readlink("/proc/" + strconv.Itoa(int(n.pid)) + "/fd/" + strconv.Itoa(int(int32(n.arguments[0]))))
		switch {
		case err != nil:
			return otherCall
		case strings.HasPrefix(target, "socket:") && call == FileWrite:
			return SocketWrite
		case strings.HasPrefix(target, "socket:") && call == FileRead:
			return SocketRead
		case s.folder != "" && strings.HasPrefix(target, s.folder+"/"):
			return call
		}
		return otherCall
	case FileOpen, FileRemove, FileRename:
		if name := readString(int(n.pid), uintptr(n.arguments[1])); s.folder != "" && strings.HasPrefix(name, s.folder) {
			return call
		}
		return otherCall
	}
	return call
}

// readString reads a NUL-terminated string from the memory of another process.
func readString(pid int, address uintptr) string {
	text := make([]byte, 0, 256)
	for len(text) < unix.PathMax {
		part := make([]byte, 256-int(address%256)) // never crosses a page boundary
		local := []unix.Iovec{{Base: &part[0], Len: uint64(len(part))}}
		remote := []unix.RemoteIovec{{Base: address, Len: len(part)}}
		size, err := unix.ProcessVMReadv(pid, local, remote, 0)
		if err != nil || size == 0 {
			return string(text)
		}
		if before, _, found := strings.Cut(string(part[:size]), "\x00"); found {
			return string(append(text, before...))
		}
		text = append(text, part[:size]...)
		address += uintptr(size)
	}
	return string(text)
}

// shorten writes the first half of a write call's data on behalf of the child and reports the short count to it. Later
// calls are no longer shortened, so that the next one fails.
func (s *Supervisor) shorten(n *notification) bool {
	size := int(n.arguments[2]) / 2
	if n.number != unix.SYS_WRITE || size == 0 {
		return false
	}
	part := make([]byte, size)
	local := []unix.Iovec{{Base: &part[0], Len: uint64(size)}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.arguments[1]), Len: size}}
	if got, err := unix.ProcessVMReadv(int(n.pid), local, remote, 0); err != nil || got != size {
		return false
	}
	descriptor, err := duplicateDescriptor(int(n.pid), int(int32(n.arguments[0])))
	if err != nil {
		return false
	}
	defer unix.Close(descriptor)
	written, err := unix.Write(descriptor, part)
	if err != nil {
		return false
	}
	s.respond(response{id: n.id, value: int64(written)})
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults {
		s.faults[i].Short = false
	}
	return true
}

// duplicateDescriptor duplicates a descriptor of another process into this one.
func duplicateDescriptor(thread, descriptor int) (int, error) {
	process, err := unix.PidfdOpen(threadGroupLeader(thread), 0)
	if err != nil {
		return 0, err
	}
	defer unix.Close(process)
	return unix.PidfdGetfd(process, descriptor, 0)
}

// threadGroupLeader returns the ID of the process that a thread belongs to.
func threadGroupLeader(thread int) int {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(thread) + "/status")
	if err != nil {
		return thread
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "Tgid:"); found {
			if leader, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				return leader
			}
		}
	}
	return thread
}
