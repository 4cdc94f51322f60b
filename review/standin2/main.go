// Command standin2 plays one case of the second review: it starts the delivery nodes with the command of the deploy file, plays
// clients, endpoints, discovery and the platform on loopback, and judges the rule by what these saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	longestCase   = 115 * time.Second
)

var cases = map[string]func(*rig) error{
	"copied-charge": playCopiedCharge,
	"drain":         playDrain,
	"hang":          playHang,
	"return":        playReturn,
	"slow-start":    playSlowStart,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitCannotRun
	}
	r, err := newRig(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cases[args[0]](r) }()
	select {
	case err = <-done:
	case <-time.After(longestCase):
		err = errCannotRun
	case <-interrupted:
		err = errCannotRun
	}
	r.mu.Lock()
	faults := r.faults
	r.mu.Unlock()
	for _, fault := range faults {
		fmt.Println("broken:", fault)
	}
	switch {
	case len(faults) > 0:
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	fmt.Println("held")
	return exitHeld
}
