package node

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"jaspersill/errclass"
	"jaspersill/logs"
)

// clock tells two times that never step. The module's counts from the start of the process. The time of day outlasts
// the process: it is the wall clock as it stood when the machine's own clock was first seen with the folder, and goes
// on with the machine's clock from then, whatever the wall clock does.
type clock struct {
	start      time.Time
	dayAtStart int64
}

func (c clock) now() int64 { return int64(time.Since(c.start)) }

// day is the time of day in ns, as what is written into the journal has it.
func (c clock) day() int64 { return c.dayAtStart + c.now() }

const (
	clockName     = "clock" // the file that says how the machine's clock and the time of day go together
	clockNextName = "clock.new"
	clockMode     = 0o600
	clockWithin   = 5 * time.Second // for a file that cannot be written for a moment
	clockAgain    = 20 * time.Millisecond
	bootIDFile    = "/proc/sys/kernel/random/boot_id"
)

// machine is what a machine tells of time.
type machine struct {
	wall   func() int64          // time of day in ns, which may step
	steady func() (int64, error) // ns since some moment of this boot, which never step
	boot   func() string         // tells one boot from another; empty if it cannot be told
}

func thisMachine() machine { return machine{wall: wall, steady: steadyTime, boot: bootID} }

func wall() int64 { return time.Now().UnixNano() }

func steadyTime() (int64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0, err
	}
	return t.Nano(), nil
}

func bootID() string {
	text, err := errclass.ReadFile(os.ReadFile, bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// anchor is what the clock's file says: on one boot, the time of day is the machine's clock and this much.
type anchor struct {
	boot   string
	offset int64
	last   int64 // a time of day that has been
}

func (a anchor) String() string { return fmt.Sprintf("%s %d %d\n", a.boot, a.offset, a.last) }

func readAnchor(text string) (a anchor, err error) {
	_, err = fmt.Sscanf(text, "%s %d %d\n", &a.boot, &a.offset, &a.last)
	return a, err
}

// startClock begins a clock for a folder. After another boot nothing tells how long the machine was off but its wall
// clock: it is believed, but for going back behind what has been.
func startClock(folder string, m machine) clock {
	start, now := time.Now(), m.wall()
	steady, err := m.steady()
	boot := m.boot()
	if err != nil || boot == "" {
		logs.Part("node").WithError(err).Warn("the machine tells no clock that outlasts a process: the wall clock is used")
		return clock{start, now}
	}
	before, err := loadAnchor(folder)
	day := max(now, before.last)
	if err == nil && before.boot == boot {
		day = steady + before.offset
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		logs.Part("node").WithError(err).Warn("the clock's file cannot be read: the wall clock is used")
	}
	if err := storeAnchor(folder, anchor{boot: boot, offset: day - steady, last: day}); err != nil {
		logs.Part("node").WithError(err).Warn("the clock's file cannot be written: a step of the wall clock before the next start counts")
	}
	logs.Part("node").WithFields(logrus.Fields{"boot": boot, "same_boot": before.boot == boot,
		"ahead_of_wall_ms": (day - now) / int64(time.Millisecond)}).Info("the time of day was taken up")
	return clock{start, day}
}

func loadAnchor(folder string) (a anchor, err error) {
	text, err := errclass.ReadFile(os.ReadFile, filepath.Join(folder, clockName))
	if err != nil {
		return anchor{}, err
	}
	return readAnchor(string(text))
}

func storeAnchor(folder string, a anchor) error {
	next := filepath.Join(folder, clockNextName)
	return errclass.Retry(errclass.File, clockWithin, clockAgain, func() error {
		if err := os.WriteFile(next, []byte(a.String()), clockMode); err != nil {
			return err
		}
		return os.Rename(next, filepath.Join(folder, clockName))
	})
}
