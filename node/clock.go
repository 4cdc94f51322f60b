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

// clock provides two times that never step. The time of the scheduler counts from the start of the process. The time of day
// is valid across processes: it starts as the wall clock when a state folder is first used in a boot of the machine, and
// from then on advances with the monotonic clock, whatever the wall clock does.
type clock struct {
	start            time.Time
	timeOfDayAtStart int64
}

// now returns the time of the scheduler in ns since the start of the process.
func (c clock) now() int64 { return int64(time.Since(c.start)) }

// timeOfDay returns the time of day in ns, as the journal records it.
func (c clock) timeOfDay() int64 { return c.timeOfDayAtStart + c.now() }

const (
	clockFile            = "clock" // relates the monotonic clock to the time of day
	clockTempFile        = "clock.new"
	clockFileMode        = 0o600
	clockWriteTimeout    = 5 * time.Second // covers transient failures to write the file
	clockWriteRetryDelay = 20 * time.Millisecond
	bootIDFile           = "/proc/sys/kernel/random/boot_id"
)

// timeSource provides the clocks of a machine.
type timeSource struct {
	wallClock func() int64          // ns since the Unix epoch; may step
	monotonic func() (int64, error) // ns since an arbitrary moment of this boot; never steps
	bootID    func() string         // identifies the boot of the machine; empty if unknown
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

// anchor is the content of the clock file: during the boot bootID, the time of day is the monotonic clock plus offset.
type anchor struct {
	bootID        string
	offset        int64
	lastTimeOfDay int64 // a time of day that has passed
}

func (a anchor) String() string {
	return fmt.Sprintf("%s %d %d\n", a.bootID, a.offset, a.lastTimeOfDay)
}

func parseAnchor(text string) (a anchor, err error) {
	_, err = fmt.Sscanf(text, "%s %d %d\n", &a.bootID, &a.offset, &a.lastTimeOfDay)
	return a, err
}

// newClock starts the clock of a state folder. After a reboot only the wall clock tells how long the machine was off, so
// it is used, but never to go back behind the recorded time of day.
func newClock(folder string, source timeSource) clock {
	start, wallNow := time.Now(), source.wallClock()
	monotonicNow, err := source.monotonic()
	currentBoot := source.bootID()
	if err != nil || currentBoot == "" {
		logs.Part("node").WithError(err).Warn("no monotonic clock or boot id available: using the wall clock")
		return clock{start, wallNow}
	}
	previous, err := loadAnchor(folder)
	timeOfDay := max(wallNow, previous.lastTimeOfDay)
	if err == nil && previous.bootID == currentBoot {
		timeOfDay = monotonicNow + previous.offset
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		logs.Part("node").WithError(err).Warn("cannot read the clock file: using the wall clock")
	}
	if err := storeAnchor(folder,
		anchor{bootID: currentBoot, offset: timeOfDay - monotonicNow, lastTimeOfDay: timeOfDay}); err != nil {
		logs.Part("node").WithError(err).
			Warn("cannot write the clock file: a step of the wall clock before the next start will shift deadlines")
	}
	logs.Part("node").WithFields(logrus.Fields{"boot": currentBoot, "same_boot": previous.bootID == currentBoot,
		"ahead_of_wall_ms": (timeOfDay - wallNow) / int64(time.Millisecond)}).Info("time of day initialized")
	return clock{start, timeOfDay}
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
