// Command twice plays case 1: a delivery node is killed and starts again, and messages that may not be repeated are
// handed in while it waits for its first list.
package main

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"jaspersill/review/kit"
)

const (
	class        = "fleet-delivery"
	maxAge       = 16 * time.Second
	answerTime   = 400 * time.Millisecond // of the endpoints
	listDelay    = 100 * time.Millisecond // until discovery answers a call for the list: two trips of 15 to 45 ms, and its work
	handInPeriod = 60 * time.Millisecond
	restarts     = 6
	between      = 4 * time.Second // from ready to the next kill
	downTime     = 600 * time.Millisecond
	settleTime   = 18 * time.Second // longer than any message lives
)

func main() { kit.Run(os.Args[1], play) }

func play(_ context.Context, record *kit.Record, temporary string, trouble bool) (held bool, err error) {
	var endpoints []*kit.Endpoint
	var hosts []kit.Host
	for i, name := range []string{"s-a", "s-b", "s-c", "s-d"} {
		e, err := kit.OpenEndpoint(record, name, "quesada-dc1", "all-partners", i/2, answerTime)
		if err != nil {
			return false, err
		}
		defer e.Close()
		endpoints, hosts = append(endpoints, e), append(hosts, e.Host)
	}
	service := kit.NewService(record, hosts)
	door, err := service.OpenDoor("A")
	if err != nil {
		return false, err
	}
	defer door.Close()
	door.SetDelay(listDelay)
	node, err := kit.NewNode(record, temporary, door.Address(), kit.SettingsSanCarlos("once"), service.Known())
	if err != nil {
		return false, err
	}
	if err := node.Start(); err != nil {
		return false, err
	}
	clients := kit.NewClients(record, node.Address, "ingenio-pital")
	var up sync.Mutex // held while the node is down: the front sends nobody there
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(handInPeriod)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			up.Lock()
			clients.HandIn(class, false, rand.IntN(2), maxAge)
			up.Unlock()
		}
	}()
	for range restarts {
		time.Sleep(between)
		if !trouble {
			time.Sleep(downTime)
			continue
		}
		up.Lock()
		node.Kill()
		time.Sleep(downTime)
		err := node.Start()
		up.Unlock()
		if err != nil {
			return false, err
		}
	}
	time.Sleep(between)
	close(stop)
	<-stopped
	messages := clients.Wait()
	time.Sleep(settleTime)
	node.Stop()

	ran := map[string][]kit.Call{}
	for _, e := range endpoints {
		for _, c := range e.Calls() {
			ran[c.ID] = append(ran[c.ID], c)
		}
	}
	twice, accepted := 0, 0
	for _, m := range messages {
		if m.Accepted() {
			accepted++
		}
		if len(ran[m.ID]) > 1 {
			twice++
			record.Say("message %s, handed in once at %.3f s, ran %d times: %v", m.ID, m.SentAt.Seconds(), len(ran[m.ID]), ran[m.ID])
		}
	}
	record.Say("%d messages that may not be repeated, %d taken on; %d ran more than once", len(messages), accepted, twice)
	return twice == 0, nil
}
