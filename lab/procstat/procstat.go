// Package procstat measures what a process takes from its machine: memory, descriptors, processor time, and the bytes
// that the kernel holds for its TCP connections. It reads /proc and needs no privileges.
package procstat

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process takes at one moment, or the largest values over a time.
type Usage struct {
	ResidentBytes int64         // resident set size
	QueuedBytes   int64         // unread and unsent bytes of the connections to one listening address
	FileBytes     int64         // size of the files in one folder
	Descriptors   int           // open file descriptors
	CPU           time.Duration // processor time since the start of the process
}

// MemoryBytes returns all memory that is charged to the process: files and the kernel's socket queues count too.
func (u Usage) MemoryBytes() int64 { return u.ResidentBytes + u.QueuedBytes + u.FileBytes }

// maxOf returns the larger value of each measure.
func (u Usage) maxOf(v Usage) Usage {
	return Usage{max(u.ResidentBytes, v.ResidentBytes), max(u.QueuedBytes, v.QueuedBytes), max(u.FileBytes, v.FileBytes),
		max(u.Descriptors, v.Descriptors), max(u.CPU, v.CPU)}
}

// Subject says what to measure.
type Subject struct {
	PID    int
	Listen string // listening address whose connections count
	Folder string // folder whose files count
}

// clockTick is the unit of processor times in /proc, which is the same on all Linux architectures that Go supports.
const clockTick = 10 * time.Millisecond

// Measure returns the present usage. It fails if the process has exited.
func Measure(s Subject) (Usage, error) {
	var u Usage
	folder := "/proc/" + strconv.Itoa(s.PID)
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return u, err
	}
	if u.ResidentBytes, err = kilobytes(status, "VmRSS:"); err != nil {
		return u, err
	}
	if u.CPU, err = cpuTime(folder + "/stat"); err != nil {
		return u, err
	}
	descriptors, err := os.ReadDir(folder + "/fd")
	if err != nil {
		return u, err
	}
	u.Descriptors = len(descriptors)
	u.FileBytes = folderSize(s.Folder)
	u.QueuedBytes, err = queuedBytes(s.Listen)
	return u, err
}

// kilobytes returns the value of a line of /proc/PID/status in bytes.
func kilobytes(status []byte, name string) (int64, error) {
	for line := range bytes.Lines(status) {
		if value, found := bytes.CutPrefix(line, []byte(name)); found {
			number, _, _ := strings.Cut(strings.TrimSpace(string(value)), " ")
			n, err := strconv.ParseInt(number, 10, 64)
			return n << 10, err
		}
	}
	return 0, fmt.Errorf("no line %s: the process has exited", name)
}

// cpuTime returns the user and system time in /proc/PID/stat.
func cpuTime(name string) (time.Duration, error) {
	const userField, systemField = 11, 12 // counted from the field behind the command's name
	text, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0, fmt.Errorf("%s: want %d fields, got %d", name, systemField+1, len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, fmt.Errorf("%s: the processor times are not numbers", name)
	}
	return time.Duration(user+system) * clockTick, nil
}

// folderSize returns the size of the files in a folder. Files that vanish meanwhile do not count.
func folderSize(folder string) (total int64) {
	if folder == "" {
		return 0
	}
	filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}

// queuedBytes returns the unread and unsent bytes of all connections whose local address is a listening address.
func queuedBytes(listen string) (total int64, err error) {
	const localField, queueField = 1, 4
	local, err := procAddress(listen)
	if err != nil {
		return 0, err
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) <= queueField || fields[localField] != local {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[queueField], ":")
		for _, number := range []string{unsent, unread} {
			n, err := strconv.ParseInt(number, 16, 64)
			if err != nil {
				return 0, fmt.Errorf("/proc/net/tcp: want hexadecimal queue sizes, got %q", fields[queueField])
			}
			total += n
		}
	}
	return total, nil
}

// procAddress returns an IPv4 address in the notation of /proc/net/tcp.
func procAddress(address string) (string, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return "", fmt.Errorf("want an IPv4 address with a port, got %q", address)
	}
	bytes := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(bytes[:]), a.Port()), nil
}

// Monitor measures a process again and again.
type Monitor struct {
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	peak   Usage
	memory int64 // largest sum of all memory at one moment
}

// Watch starts to measure a process at an interval, until Stop or the exit of the process.
func Watch(ctx context.Context, s Subject, interval time.Duration) *Monitor {
	m := &Monitor{stop: make(chan struct{})}
	m.done.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			usage, err := Measure(s)
			if err != nil {
				return
			}
			m.record(usage)
			select {
			case <-ctx.Done():
				return
			case <-m.stop:
				return
			case <-tick.C:
			}
		}
	})
	return m
}

func (m *Monitor) record(u Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak, m.memory = m.peak.maxOf(u), max(m.memory, u.MemoryBytes())
}

// Stop ends the measuring. It returns the largest value of each measure, and the largest sum of all memory at one moment.
func (m *Monitor) Stop() (peak Usage, memory int64) {
	close(m.stop)
	m.done.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak, m.memory
}
