package tanagercontrol

import (
	"fmt"
	"time"

	"tanagersail.example/tanager/tanagerplace"
	"tanagersail.example/tanagerd/tanagermessage"
)

// reservation is the capacity reserved for the tasks of a gang.
type reservation struct {
	request   tanagermessage.GangReservationRequest
	jobOwner  string
	expiresAt time.Time
	// allocations maps the names of the placer's allocations to the workers on
	// which the capacity is reserved.
	allocations    map[string]string
	lastAllocation int
}

// handleGangReservationRequest reserves capacity for as many tasks of a gang as
// possible and extends its earlier reservations.
func (c *Control) handleGangReservationRequest(from string, m tanagermessage.GangReservationRequest, now time.Time) {
	response := tanagermessage.GangReservation{
		Job:   m.Job,
		Round: m.Round,
	}
	if m.Epoch >= c.jobEpoch(m.Shard) && c.holdsLease(now) {
		response.Count = c.reserve(from, m, now)
	}
	c.send(from, tanagermessage.TopicGangReservation, response)
}

func (c *Control) reserve(from string, m tanagermessage.GangReservationRequest, now time.Time) int {
	r := c.workers.reservations[m.Job]
	if r == nil {
		r = &reservation{
			allocations: make(map[string]string),
		}
		c.workers.reservations[m.Job] = r
	}
	r.request = m
	r.jobOwner = from
	r.expiresAt = now.Add(reservationTTL)
	for len(r.allocations) < m.Count {
		if !c.reserveOne(r, now) && !c.preemptYoungest(r) {
			break
		}
	}
	return len(r.allocations)
}

// reserveOne reserves capacity for one more task.
func (c *Control) reserveOne(r *reservation, now time.Time) bool {
	worker, ok := c.workers.fleet.SelectWorker(tanagerplace.Demand{
		Job:       r.request.Job,
		Resources: r.request.Resources,
		Policy:    tanagerplace.BinPack,
	}, now)
	if !ok {
		return false
	}
	r.lastAllocation++
	name := fmt.Sprintf("reserved/%s/%d", r.request.Job, r.lastAllocation)
	r.allocations[name] = worker
	c.workers.fleet.Allocate(worker, tanagerplace.Allocation{
		Task:     name,
		Job:      r.request.Job,
		Branch:   r.request.Branch,
		Class:    r.request.Class,
		Declared: r.request.Resources,
		Started:  now,
	})
	return true
}

// preemptYoungest releases the reservation of the youngest gang that was
// accepted after this one, and reports whether there was one. Capacity thus
// moves only from younger to older gangs, so gangs cannot deadlock.
func (c *Control) preemptYoungest(r *reservation) bool {
	var youngest *reservation
	for _, other := range c.workers.reservations {
		if len(other.allocations) == 0 || !acceptedBefore(r.request, other.request) {
			continue
		}
		if youngest == nil || acceptedBefore(youngest.request, other.request) {
			youngest = other
		}
	}
	if youngest == nil {
		return false
	}
	c.releaseReservation(youngest)
	c.send(youngest.jobOwner, tanagermessage.TopicGangReservation, tanagermessage.GangReservation{
		Job:   youngest.request.Job,
		Round: youngest.request.Round,
	})
	return true
}

// acceptedBefore reports whether gang a was accepted before gang b. Ties are
// broken by job id.
func acceptedBefore(a, b tanagermessage.GangReservationRequest) bool {
	if !a.Accepted.Equal(b.Accepted) {
		return a.Accepted.Before(b.Accepted)
	}
	return a.Job < b.Job
}

func (c *Control) releaseReservation(r *reservation) {
	for name := range r.allocations {
		c.workers.fleet.Release(name)
	}
	clear(r.allocations)
	delete(c.workers.reservations, r.request.Job)
	c.workers.placementDue = true
}

func (c *Control) handleGangRelease(_ string, m tanagermessage.GangRelease, _ time.Time) {
	if r := c.workers.reservations[m.Job]; r != nil {
		c.releaseReservation(r)
	}
}

// expireReservations releases the reservations that were not renewed in time.
func (c *Control) expireReservations(now time.Time) {
	for _, r := range c.workers.reservations {
		if !now.Before(r.expiresAt) {
			c.releaseReservation(r)
		}
	}
}

// startReserved starts a task of a gang on the capacity reserved for it.
func (c *Control) startReserved(o tanagermessage.TaskOffer, from string, now time.Time) {
	r := c.workers.reservations[o.Ref.Job]
	if r == nil {
		c.rejectOffer(o, from)
		return
	}
	for name, worker := range r.allocations {
		delete(r.allocations, name)
		if c.workers.fleet.Allocation(name) == nil {
			continue
		}
		c.workers.fleet.Release(name)
		c.workers.offers.backlog.Charge(o.Branch, o.Class, o.Resources)
		c.startOnWorker(worker, o, from, o.Resources, now)
		return
	}
	c.rejectOffer(o, from)
}
