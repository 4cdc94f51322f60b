// Command benchlink runs the scheduler for the simulator, speaking the simulator's wire protocol on standard input and
// output.
package main

import (
	"fmt"
	"os"

	"jaspersill/delivery"
	"jaspersill/scheduler"
	"jaspersill/settings"
	"jaspersill/simwire"
)

func main() {
	newScheduler := func(seed uint64, s settings.Settings) delivery.Scheduler {
		return scheduler.New(seed, s.StreamTypes, s.DestinationKinds, s.Limits, s.Recovery, s.Directory, s.Cluster, s.OrderPause)
	}
	if err := simwire.Serve(os.Stdin, os.Stdout, newScheduler); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
