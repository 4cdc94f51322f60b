package loopback

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"jaspersill/delivery"
	"jaspersill/lab/partner"
	"jaspersill/lab/world"
)

// drawTroubles draws whom each trouble meets, as the world in virtual time does from the same seed.
func (s *Stage) drawTroubles(seed uint64) {
	whom := rand.New(rand.NewPCG(seed, world.Whom))
	for i := range s.day.Troubles {
		eps, nodes := world.Meets(&s.day.Troubles[i], whom, s.partners.ByDest, s.day.Fleet.Nodes)
		s.met, s.metNodes = append(s.met, eps), append(s.metNodes, nodes)
	}
}

// schedule has the troubles come and go until ctx ends.
func (s *Stage) schedule(ctx context.Context, nodes *Nodes) {
	for i := range s.day.Troubles {
		t := &s.day.Troubles[i]
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			until := time.Duration(t.At + t.For)
			for at := time.Duration(t.At); ; at += time.Duration(t.Every) {
				if !s.sleep(ctx, at) {
					return
				}
				s.begin(i, nodes, until)
				if t.For == 0 {
					return
				}
				end := until
				if t.Every > 0 {
					end = min(until, at+time.Duration(t.Every)/2)
				}
				going := s.sleep(ctx, end)
				s.relent(i, nodes)
				if !going || t.Every == 0 || at+time.Duration(t.Every) >= until {
					return
				}
			}
		}()
	}
}

// sleep waits until a time of the day; false when ctx ended before.
func (s *Stage) sleep(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - time.Since(s.began))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Stage) begin(i int, nodes *Nodes, until time.Duration) {
	t := &s.day.Troubles[i]
	s.tell("trouble: %s begins", t.Kind)
	if nodes != nil {
		for _, n := range s.metNodes[i] {
			switch t.Kind {
			case "kill":
				nodes.Kill(int(n))
			case "drain":
				nodes.Drain(int(n))
			case "freeze":
				nodes.Freeze(int(n), until-time.Since(s.began))
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	switch t.Kind {
	case "directory-down":
		s.dirDown++
		close(s.bell)
		s.bell = make(chan struct{})
	case "directory-still":
		s.dirStill++
	case "replace":
		for _, ep := range s.met[i] {
			s.replace(ep)
		}
	case "kill", "drain", "freeze":
	default:
		s.troubles = append(s.troubles, i)
		for _, ep := range s.met[i] {
			s.meet(ep)
		}
	}
}

func (s *Stage) relent(i int, nodes *Nodes) {
	t := &s.day.Troubles[i]
	s.tell("trouble: %s ends", t.Kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t.Kind {
	case "directory-down":
		s.dirDown--
	case "directory-still":
		s.dirStill--
	case "replace", "kill", "drain", "freeze":
	default:
		s.troubles = slices.DeleteFunc(s.troubles, func(j int) bool { return j == i })
		for _, ep := range s.met[i] {
			s.meet(ep)
		}
	}
}

// meet puts in force what all troubles make of an endpoint; the lock is held.
func (s *Stage) meet(ep int32) {
	var mine []int
	for _, i := range s.troubles {
		if slices.Contains(s.met[i], ep) {
			mine = append(mine, i)
		}
	}
	was := s.partners.Endpoints[ep].Mode
	p := world.Together(s.day.Troubles, mine)
	s.partners.Meet(s.now(), ep, p)
	switch {
	case s.stopped:
	case p.Mode == partner.Refusing && was != partner.Refusing:
		s.shutGate(ep)
	case p.Mode != partner.Refusing && was == partner.Refusing:
		s.reopen(ep)
	}
}

// reopen listens again; its address may take a moment to be free.
func (s *Stage) reopen(ep int32) {
	if s.openGate(ep) == nil {
		return
	}
	time.AfterFunc(20*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped && s.partners.Endpoints[ep].Mode != partner.Refusing {
			s.reopen(ep)
		}
	})
}

// replace lets an endpoint drain, and a new one take its place; the lock is held.
func (s *Stage) replace(ep int32) {
	if e := &s.partners.Endpoints[ep]; e.Gone || e.Draining {
		return
	}
	next := s.partners.Replace(ep)
	if err := s.openGate(next); err != nil {
		s.tell("an endpoint cannot be opened: %v", err)
		s.partners.Leave(next)
		s.doors = append(s.doors, &gate{conns: nil})
		return
	}
	for i := range s.met {
		if slices.Contains(s.met[i], ep) && slices.Contains(s.troubles, i) {
			s.met[i] = append(s.met[i], next)
		}
	}
	s.meet(next)
	s.tellChange(ep, delivery.Draining)
	s.tellChange(next, delivery.Ready)
	time.AfterFunc(time.Duration(s.day.Fleet.Directory+s.day.Rules.Grace)+leaveAfter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped {
			s.partners.Leave(ep)
			s.shutGate(ep)
			s.tellChange(ep, delivery.Gone)
		}
	})
}

// seen and saw keep the beginning of the last outage that a node met at a lane; the lock is held.
func (s *Stage) seen(node, lane int32) int64 { return s.sights[sight{node, lane}] }

func (s *Stage) saw(node, lane int32, from int64) { s.sights[sight{node, lane}] = from }

type sight struct{ node, lane int32 }
