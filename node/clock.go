package node

import "time"

// clock tells the module's time, which never goes back, and the time of day, which outlasts the process.
type clock struct{ start time.Time }

func (c clock) now() int64 { return int64(time.Since(c.start)) }

func wall() int64 { return time.Now().UnixNano() }

// day is the time of day, as what is written into the journal has it.
func (c clock) day() int64 { return wall() }
