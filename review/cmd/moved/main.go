// Command moved plays case 3: a new configuration moves discovery to another address, where the first calls are refused
// since it is crowded, while the old address still serves for some seconds.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"jaspersill/review/kit"
)

const (
	answerTime   = 100 * time.Millisecond // of the endpoints
	handInPeriod = 100 * time.Millisecond
	stepPeriod   = 400 * time.Millisecond // between two changes of the list while another destination's endpoints are replaced
	steps        = 20
	busyTime     = 1500 * time.Millisecond // the new address answers calls for the list with 503 for so long
	moveAt       = 2 * time.Second
	oldEndsAt    = 8 * time.Second
	replaceAt    = 12 * time.Second // the endpoints of destination 0 are replaced
	turnAwayAt   = 24 * time.Second // the endpoints that drain turn calls away from now on
	playTime     = 34 * time.Second
	toldWithin   = 6 * time.Second                            // after discovery had a change, at the latest
	drainGrace   = 500*time.Millisecond + 50*time.Millisecond // rules.drain_grace_ms, and 50 ms on sockets
	site, class  = "heredia-dc", "small-partner"
	settleTime   = 3 * time.Second
	statusLeft   = 8 * time.Second
	alertLeft    = 28 * time.Second
	chargeLeft   = 24 * time.Second
	owner        = "ingenio-la-ceiba"
	otherAddress = 2 // destination whose endpoints are replaced all along
)

func main() { kit.Run(os.Args[1], play) }

func play(_ context.Context, record *kit.Record, temporary string, trouble bool) (held bool, err error) {
	open := func(name string, dest int) *kit.Endpoint {
		e, openErr := kit.OpenEndpoint(record, name, site, class, dest, answerTime)
		if openErr != nil {
			err = openErr
		}
		return e
	}
	old := []*kit.Endpoint{open("s-old-1", 0), open("s-old-2", 0)}
	fresh := []*kit.Endpoint{open("s-new-1", 0), open("s-new-2", 0)}
	steady, other := open("s-steady", 1), open("s-other-0", otherAddress)
	if err != nil {
		return false, err
	}
	service := kit.NewService(record, []kit.Host{old[0].Host, old[1].Host, steady.Host, other.Host})
	before, err := service.OpenDoor("A")
	if err != nil {
		return false, err
	}
	defer before.Close()
	after, err := service.OpenDoor("B")
	if err != nil {
		return false, err
	}
	defer after.Close()
	node, err := kit.NewNode(record, temporary, before.Address(), kit.SettingsHeredia(), service.Known())
	if err != nil {
		return false, err
	}
	if err := node.Start(); err != nil {
		return false, err
	}
	defer node.Stop()

	go func() { // endpoints of another destination are replaced in steps
		last := other
		for i := range steps {
			time.Sleep(stepPeriod)
			next, err := kit.OpenEndpoint(record, fmt.Sprintf("s-other-%d", i+1), site, class, otherAddress, answerTime)
			if err != nil {
				return
			}
			gone := last.Host
			gone.Health = "Gone"
			service.Change(next.Host, gone)
			last.Close()
			last = next
		}
	}()
	clients := kit.NewClients(record, node.Address, owner)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(handInPeriod):
			}
			switch dest := i % 2; i % 3 {
			case 0:
				clients.HandIn("machine-status", false, dest, statusLeft)
			case 1:
				clients.HandIn("service-alert", true, dest, alertLeft)
			default:
				clients.HandIn("hour-charge", false, dest, chargeLeft)
			}
		}
	}()

	sleepUntil := func(at time.Duration) { time.Sleep(at - record.Now()) }
	sleepUntil(moveAt)
	if trouble {
		after.SetBusy(busyTime)
	}
	if err := node.Set("discovery", after.Address()); err != nil {
		return false, err
	}
	if err := node.Signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	sleepUntil(oldEndsAt)
	record.Log("discovery A: ends")
	before.Close()
	sleepUntil(replaceAt)
	changed := record.Now()
	for i := range old {
		leaving := old[i].Host
		leaving.Health = "Terminating"
		service.Change(leaving, fresh[i].Host)
	}
	sleepUntil(turnAwayAt) // they still serve what comes until then
	for _, e := range old {
		e.SetDraining()
	}
	sleepUntil(playTime)
	close(stop)
	<-stopped
	clients.Wait()
	time.Sleep(settleTime)

	due := changed + toldWithin + drainGrace
	late := 0
	for _, e := range old {
		for _, c := range e.Calls() {
			if c.At > due {
				if late++; late == 1 {
					record.Say("%s drains since %.3f s, and gets %s at %.3f s", c.Endpoint, changed.Seconds(), c.ID, c.At.Seconds())
				}
			}
		}
	}
	taken := 0
	for _, e := range fresh {
		taken += len(e.Calls())
	}
	record.Say("watches at the new address: %d; calls to draining endpoints more than %v after the change: %d; calls to their replacements: %d",
		after.Watches(), toldWithin+drainGrace, late, taken)
	return late == 0, nil
}
