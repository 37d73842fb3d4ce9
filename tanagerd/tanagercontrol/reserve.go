package tanagercontrol

import (
	"fmt"
	"time"

	"tanagersail.example/tanager/tanagerplace"
	"tanagersail.example/tanagerd/tanagermessage"
)

// reservation is the room that is kept for a gang.
type reservation struct {
	ask  tanagermessage.GangReserve
	from string
	due  time.Time
	// places are the workers that room is kept on, by the name of the holding.
	places map[string]string
	number int
}

// gangReserveAsked keeps room for as many tasks of a gang as possible, and keeps
// what was reserved before for longer.
func (c *Control) gangReserveAsked(from string, m tanagermessage.GangReserve, now time.Time) {
	answer := tanagermessage.GangReserved{
		Job:   m.Job,
		Round: m.Round,
	}
	if m.Epoch >= c.jobEpoch(m.Shard) && c.mayAct(now) {
		answer.Count = c.reserve(from, m, now)
	}
	c.send(from, tanagermessage.TopicGangReserved, answer)
}

func (c *Control) reserve(from string, m tanagermessage.GangReserve, now time.Time) int {
	r := c.workers.reservations[m.Job]
	if r == nil {
		r = &reservation{
			places: make(map[string]string),
		}
		c.workers.reservations[m.Job] = r
	}
	r.ask = m
	r.from = from
	r.due = now.Add(gangReservation)
	for len(r.places) < m.Count {
		if !c.reserveOne(r, now) && !c.takeFromYounger(r) {
			break
		}
	}
	return len(r.places)
}

// reserveOne keeps room for one more task.
func (c *Control) reserveOne(r *reservation, now time.Time) bool {
	worker, ok := c.workers.fleet.Choose(tanagerplace.Demand{
		Job:       r.ask.Job,
		Resources: r.ask.Resources,
		Policy:    tanagerplace.Dense,
	}, now)
	if !ok {
		return false
	}
	r.number++
	name := fmt.Sprintf("reserved/%s/%d", r.ask.Job, r.number)
	r.places[name] = worker
	c.workers.fleet.Hold(worker, tanagerplace.Holding{
		Task:     name,
		Job:      r.ask.Job,
		Branch:   r.ask.Branch,
		Class:    r.ask.Class,
		Declared: r.ask.Resources,
		Started:  now,
	})
	return true
}

// takeFromYounger frees the room of the youngest gang that was accepted after
// this one, and reports whether there was one. Room thus moves only from
// younger to older gangs, so gangs can't wait for each other in a circle.
func (c *Control) takeFromYounger(r *reservation) bool {
	var youngest *reservation
	for _, other := range c.workers.reservations {
		if len(other.places) == 0 || !older(r.ask, other.ask) {
			continue
		}
		if youngest == nil || older(youngest.ask, other.ask) {
			youngest = other
		}
	}
	if youngest == nil {
		return false
	}
	c.freeReservation(youngest)
	c.send(youngest.from, tanagermessage.TopicGangReserved, tanagermessage.GangReserved{
		Job:   youngest.ask.Job,
		Round: youngest.ask.Round,
	})
	return true
}

// older reports whether gang a was accepted before gang b.
func older(a, b tanagermessage.GangReserve) bool {
	if !a.Accepted.Equal(b.Accepted) {
		return a.Accepted.Before(b.Accepted)
	}
	return a.Job < b.Job
}

func (c *Control) freeReservation(r *reservation) {
	for name := range r.places {
		c.workers.fleet.Release(name)
	}
	clear(r.places)
	delete(c.workers.reservations, r.ask.Job)
	c.workers.dirty = true
}

func (c *Control) gangReleased(_ string, m tanagermessage.GangRelease, _ time.Time) {
	if r := c.workers.reservations[m.Job]; r != nil {
		c.freeReservation(r)
	}
}

// tendReservations frees the room that was kept for too long.
func (c *Control) tendReservations(now time.Time) {
	for _, r := range c.workers.reservations {
		if !now.Before(r.due) {
			c.freeReservation(r)
		}
	}
}

// startReserved starts a task of a gang on room that was kept for it.
func (c *Control) startReserved(o tanagermessage.TaskOffer, from string, now time.Time) {
	r := c.workers.reservations[o.Ref.Job]
	if r == nil {
		c.refuseOffer(o, from)
		return
	}
	for name, worker := range r.places {
		delete(r.places, name)
		if c.workers.fleet.Holding(name) == nil {
			continue
		}
		c.workers.fleet.Release(name)
		c.workers.offers.backlog.Charge(o.Branch, o.Class, o.Resources)
		c.startOn(worker, o, from, o.Resources, now)
		return
	}
	c.refuseOffer(o, from)
}
