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
	start            time.Time
	timeOfDayAtStart int64
}

func (c clock) now() int64 { return int64(time.Since(c.start)) }

// timeOfDay is the time of timeOfDay in ns, as what is written into the journal has it.
func (c clock) timeOfDay() int64 { return c.timeOfDayAtStart + c.now() }

const (
	clockFile            = "clock" // the file that says how the machine's clock and the time of day go together
	clockTempFile        = "clock.new"
	clockFileMode        = 0o600
	clockWriteTimeout    = 5 * time.Second // for a file that cannot be written for a moment
	clockWriteRetryDelay = 20 * time.Millisecond
	bootIDFile           = "/proc/sys/kernel/random/boot_id"
)

// timeSource is what a timeSource tells of time.
type timeSource struct {
	wallClock func() int64          // time of day in ns, which may step
	monotonic func() (int64, error) // ns since some moment of this boot, which never step
	bootID    func() string         // tells one boot from another; empty if it cannot be told
}

func systemTimeSource() timeSource {
	return timeSource{wallClock: wallClock, monotonic: monotonicTime, bootID: readBootID}
}

func wallClock() int64 { return time.Now().UnixNano() }

func monotonicTime() (int64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0, err
	}
	return t.Nano(), nil
}

func readBootID() string {
	text, err := errclass.ReadFile(os.ReadFile, bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// anchor is what the clock's file says: on one boot, the time of day is the machine's clock and this much.
type anchor struct {
	bootID        string
	offset        int64
	lastTimeOfDay int64 // a time of day that has been
}

func (a anchor) String() string {
	return fmt.Sprintf("%s %d %d\n", a.bootID, a.offset, a.lastTimeOfDay)
}

func parseAnchor(text string) (a anchor, err error) {
	_, err = fmt.Sscanf(text, "%s %d %d\n", &a.bootID, &a.offset, &a.lastTimeOfDay)
	return a, err
}

// newClock begins a clock for a folder. After another boot nothing tells how long the machine was off but its wall
// clock: it is believed, but for going back behind what has been.
func newClock(folder string, m timeSource) clock {
	start, now := time.Now(), m.wallClock()
	steady, err := m.monotonic()
	boot := m.bootID()
	if err != nil || boot == "" {
		logs.Part("node").WithError(err).Warn("the machine tells no clock that outlasts a process: the wall clock is used")
		return clock{start, now}
	}
	before, err := loadAnchor(folder)
	day := max(now, before.lastTimeOfDay)
	if err == nil && before.bootID == boot {
		day = steady + before.offset
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		logs.Part("node").WithError(err).Warn("the clock's file cannot be read: the wall clock is used")
	}
	if err := storeAnchor(folder, anchor{bootID: boot, offset: day - steady, lastTimeOfDay: day}); err != nil {
		logs.Part("node").WithError(err).Warn("the clock's file cannot be written: a step of the wall clock before the next start counts")
	}
	logs.Part("node").WithFields(logrus.Fields{"boot": boot, "same_boot": before.bootID == boot,
		"ahead_of_wall_ms": (day - now) / int64(time.Millisecond)}).Info("the time of day was taken up")
	return clock{start, day}
}

func loadAnchor(folder string) (a anchor, err error) {
	text, err := errclass.ReadFile(os.ReadFile, filepath.Join(folder, clockFile))
	if err != nil {
		return anchor{}, err
	}
	return parseAnchor(string(text))
}

func storeAnchor(folder string, a anchor) error {
	next := filepath.Join(folder, clockTempFile)
	return errclass.Retry(errclass.File, clockWriteTimeout, clockWriteRetryDelay, func() error {
		if err := os.WriteFile(next, []byte(a.String()), clockFileMode); err != nil {
			return err
		}
		return os.Rename(next, filepath.Join(folder, clockFile))
	})
}
