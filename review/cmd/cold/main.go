// Command cold plays case 2: a destination shuts for some seconds and tells each call how long to wait, and then comes
// back cold.
package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"jaspersill/review/kit"
)

const (
	site, class = "quesada-dc1", "major-partners"
	owner       = "ingenio-pital"
	kind        = "fleet-delivery"
	maxAge      = 16 * time.Second
	nodes       = 2
	slots       = 36
	limit       = 60.0 // calls a second that the destination takes from all delivery nodes, as the list tells
	spare       = 1.2  // its capacity over its limit; the site has 1.2 to 1.5
	rate        = 21.0 // messages a second for it, of 88
	steadyRate  = 67.0 // for the other destinations
	steadyDests = 6
	steadyWork  = 120 * time.Millisecond
	meanWork    = 220 * time.Millisecond
	sigma       = 1.0 // of the logarithm of the work
	outages     = 5
	quiet       = 4 * time.Second  // before each outage
	shutFor     = 10 * time.Second // the site has 7.9 to 16 s
	watchFor    = 5 * time.Second  // after each outage
	coldShare   = 0.31
	warmAfter   = 9900 * time.Millisecond
	multiple    = 1.5
	fallAfter   = 2 * time.Second
)

// destination is the state that its endpoints share.
type destination struct {
	record *kit.Record

	mu        sync.Mutex
	shutUntil time.Duration // 0: it is open
	openedAt  time.Duration // when the last outage ended, 0: none has
	arrivals  []time.Duration
	taken     int
	falls     int
	fallen    bool // in this outage's return
	largest   float64
}

// share returns the share of the capacity that it has at a time.
func (d *destination) share(at time.Duration) float64 {
	if d.openedAt == 0 || at >= d.openedAt+warmAfter {
		return 1
	}
	return coldShare + (1-coldShare)*float64(at-d.openedAt)/float64(warmAfter)
}

// allowed returns the calls that it bears in the window of the rule that ends at a time: the multiple of its capacity at
// the end of that window, when it is highest, with the slack that the pages give.
func (d *destination) allowed(end time.Duration) float64 {
	n := multiple * limit * spare * d.share(end) * fallAfter.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// arrive counts a call, and returns its answer and how long it takes.
func (d *destination) arrive(id string) (status int, wait, work time.Duration) {
	now := d.record.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	work = time.Duration(float64(meanWork) * math.Exp(sigma*rand.NormFloat64()-sigma*sigma/2))
	if now < d.shutUntil {
		d.record.Log("destination: %s turned away, shut for %v", id, d.shutUntil-now)
		return http.StatusTooManyRequests, d.shutUntil - now, 0
	}
	d.arrivals = append(d.arrivals, now)
	for len(d.arrivals) > 0 && d.arrivals[0] <= now-fallAfter {
		d.arrivals = d.arrivals[1:]
	}
	share := d.share(now)
	if d.openedAt > 0 && now >= d.openedAt+fallAfter && share < 1 {
		got, bears := float64(len(d.arrivals)), d.allowed(now)
		d.largest = max(d.largest, got/bears)
		if got > bears && !d.fallen {
			d.fallen = true
			d.falls++
			d.record.Say("cold since %.3f s, the destination got %.0f calls in the 2 s up to %.3f s, and bears %.1f", d.openedAt.Seconds(), got, now.Seconds(), bears)
		}
	}
	d.taken++
	return http.StatusOK, 0, time.Duration(float64(work) / share)
}

func (d *destination) handle(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(io.LimitReader(r.Body, 1<<17)); err != nil {
		return
	}
	id := r.Header.Get("Req-Id")
	status, wait, work := d.arrive(id)
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds()+0.001, 'f', 3, 64))
	}
	time.Sleep(work)
	w.Header().Set("Srv-Load", fmt.Sprintf("x0=1,x1=%g", limit))
	w.WriteHeader(status)
}

func main() { kit.Run(os.Args[1], play) }

func play(_ context.Context, record *kit.Record, temporary string, trouble bool) (held bool, err error) {
	d := &destination{record: record}
	var hosts []kit.Host
	for _, name := range []string{"s-a", "s-b"} {
		l, err := kit.Listen()
		if err != nil {
			return false, err
		}
		server := &http.Server{Handler: http.HandlerFunc(d.handle), IdleTimeout: 10 * time.Second}
		defer server.Close()
		go server.Serve(l)
		hosts = append(hosts, kit.Host{Host: name, Dial: l.Addr().String(), Site: site, Class: class, Block: 0, Health: "Ready", Share: limit})
	}
	for i := range steadyDests {
		steady, err := kit.OpenEndpoint(record, fmt.Sprint("s-steady-", i), site, class, i+1, steadyWork)
		if err != nil {
			return false, err
		}
		defer steady.Close()
		steady.Host.Share = limit
		hosts = append(hosts, steady.Host)
	}
	service := kit.NewService(record, hosts)
	var clients []*kit.Clients
	for i := range nodes {
		door, err := service.OpenDoor(fmt.Sprint("A", i))
		if err != nil {
			return false, err
		}
		defer door.Close()
		settings := kit.SettingsSanCarlos("by_key")
		settings["me"], settings["replicas_of_me"], settings["weight_kind"] = i, nodes, "nominal"
		settings["family_info"].(map[string]any)["slots"], settings["ceilings"].(map[string]any)["max_open"] = slots, 500
		node, err := kit.NewNode(record, fmt.Sprintf("%s/n%d", temporary, i), door.Address(), settings, service.Known())
		if err != nil {
			return false, err
		}
		if err := node.Set("name", fmt.Sprint("n", i)); err != nil {
			return false, err
		}
		if err := node.Start(); err != nil {
			return false, err
		}
		defer node.Stop()
		clients = append(clients, kit.NewClients(record, node.Address, owner))
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for _, c := range clients {
		for dest := range 1 + steadyDests {
			perSecond := rate / nodes
			if dest > 0 {
				perSecond = steadyRate / steadyDests / nodes
			}
			senders.Add(1)
			go func() {
				defer senders.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * 1e9)):
						c.HandIn(kind, true, dest, maxAge)
					}
				}
			}()
		}
	}
	for range outages {
		time.Sleep(quiet)
		if !trouble {
			time.Sleep(shutFor + watchFor)
			continue
		}
		d.mu.Lock()
		d.shutUntil, d.openedAt, d.fallen, d.arrivals = record.Now()+shutFor, 0, false, nil
		d.mu.Unlock()
		record.Log("destination: shuts")
		time.Sleep(shutFor)
		d.mu.Lock()
		d.openedAt = d.shutUntil
		d.mu.Unlock()
		record.Log("destination: open, cold")
		time.Sleep(watchFor)
	}
	close(stop)
	senders.Wait()
	for _, c := range clients {
		c.Wait()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	record.Say("%d calls taken; at most %.2f of what it bears while cold; fell %d times", d.taken, d.largest, d.falls)
	return d.falls == 0, nil
}
