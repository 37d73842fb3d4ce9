package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanagerd/tanagermessage"
)

// placeRequest sends a request to an owner of targets of its service. The
// request must certainly not have run yet.
func (c *Control) placeRequest(row *coordinatedRequest, now time.Time) {
	for row.attempt < maxPlacementAttempts {
		owner, ok := c.chooseTargetOwner(row, now)
		if !ok {
			break
		}
		row.attempt++
		row.owner = owner
		row.deliveryUncertain = false
		row.resent = false
		row.unreachableSince = time.Time{}
		if c.sendPlacement(row, now) {
			return
		}
		row.excluded = append(row.excluded, owner)
	}
	c.finishRequest(row, tanagermessage.RequestResult{
		Failure: c.noOwnerFailure(row.spec.Service),
	}, now)
}

func (c *Control) noOwnerFailure(service string) *tanagerfailure.Failure {
	if _, known := c.fleet.serviceOwners[service]; !known && c.mapKnown() {
		return tanagerfailure.New(tanagerfailure.UnknownService, "no target offers the service "+service)
	}
	return tanagerfailure.New(tanagerfailure.NoOwner,
		"no daemon can serve "+service+" at present").WithRetryAfter(c.jitter(c.settings.Queue.MinRetryAfter))
}

// jitter returns a random duration between d and 2d.
func (c *Control) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.Random.Int64N(int64(d)+1))
}

func (c *Control) sendPlacement(row *coordinatedRequest, now time.Time) bool {
	spec := row.spec
	spec.Timeout = row.deadline.Sub(now)
	return c.send(row.owner, tanagermessage.TopicRequestDispatch, tanagermessage.RequestDispatch{
		Spec:    spec,
		Attempt: row.attempt,
	})
}

// handleUnsentRequestDispatch places a request elsewhere that certainly did not
// reach its owner.
func (c *Control) handleUnsentRequestDispatch(owner string, m tanagermessage.RequestDispatch, now time.Time) {
	row := c.coordinated.pending[m.Spec.ID]
	if row == nil || row.owner != owner || row.attempt != m.Attempt || row.deliveryUncertain {
		return
	}
	row.excluded = append(row.excluded, owner)
	c.placeRequest(row, now)
}

// handleRequestResult handles an owner's result of a placement attempt.
func (c *Control) handleRequestResult(from string, m tanagermessage.RequestResult, now time.Time) {
	c.serviceLoadReceived(from, m.Load, now)
	row := c.coordinated.pending[m.ID]
	if row == nil || row.owner != from || row.attempt != m.Attempt {
		return
	}
	if c.mayRetryElsewhere(row, m, now) {
		row.excluded = append(row.excluded, from)
		c.placeRequest(row, now)
		return
	}
	c.finishRequest(row, m, now)
}

// mayRetryElsewhere reports whether a request that certainly did not run may be
// placed with another owner that could serve it sooner.
func (c *Control) mayRetryElsewhere(row *coordinatedRequest, m tanagermessage.RequestResult, now time.Time) bool {
	if m.Failure == nil || row.attempt >= maxPlacementAttempts || !now.Before(row.deadline) {
		return false
	}
	switch m.Failure.Code {
	case tanagerfailure.NoOwner, tanagerfailure.NoTarget:
		return true
	case tanagerfailure.QueueFull, tanagerfailure.DeadlineUnreachable:
		return row.attempt == 1 && len(c.fleet.serviceOwners[row.spec.Service]) > 1
	}
	return false
}

// chooseTargetOwner returns the owner with the least known load for a request,
// or false if there is none to try.
func (c *Control) chooseTargetOwner(row *coordinatedRequest, now time.Time) (string, bool) {
	var candidates []string
	for _, owner := range c.fleet.serviceOwners[row.spec.Service] {
		if !slices.Contains(row.excluded, owner) && !c.suspected(owner, now) {
			candidates = append(candidates, owner)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	chosen := c.leastLoaded(candidates, func(owner string) float64 { return c.requestLoad(owner, row.spec.Service) })
	c.deductSent(chosen, row.spec.Service)
	return chosen, true
}

// requestLoad returns the relative load of an owner's targets of a service, in
// requests per slot. It is negative while slots are free.
func (c *Control) requestLoad(owner, service string) float64 {
	load := c.peerLoads[owner].services[service]
	if load.slots == 0 {
		return 0
	}
	return float64(load.queued-load.free) / float64(load.slots)
}

// deductSent deducts a placed request from the last reported load.
func (c *Control) deductSent(owner, service string) {
	services := c.peerLoads[owner].services
	if load, ok := services[service]; ok {
		load.free--
		services[service] = load
	}
}

// leastLoaded returns the member with the least load. In a small cell all
// members are compared. In a larger cell two random ones are (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001), because load
// reports are older there and many daemons would choose the same member. The
// list must not be empty.
func (c *Control) leastLoaded(members []string, load func(string) float64) string {
	chosen := members[c.Random.IntN(len(members))]
	if !c.gossipsToAll() {
		members = []string{members[c.Random.IntN(len(members))]}
	}
	for _, m := range members {
		if load(m) < load(chosen) {
			chosen = m
		}
	}
	return chosen
}
