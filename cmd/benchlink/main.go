// Command benchlink runs the decision module on the bench's wire, on standard
// input and output.
package main

import (
	"fmt"
	"os"

	"jaspersill/delivery"
	"jaspersill/scheduler"
	"jaspersill/simwire"
	"jaspersill/start"
)

func main() {
	launch := func(seed uint64, s start.Start) delivery.Scheduler {
		return scheduler.New(seed, s.Types, s.Partners, s.Room, s.Recovery, s.Directory, s.Fleet, s.OrderPause)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, launch); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
