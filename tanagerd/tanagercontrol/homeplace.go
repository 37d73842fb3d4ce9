package tanagercontrol

import (
	"slices"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanagerd/tanagermessage"
)

// place sends a request to an owner of targets of its service. The request has
// certainly not run yet.
func (c *Control) place(row *homeRequest, now time.Time) {
	for row.try < maxTries {
		owner, ok := c.chooseOwner(row, now)
		if !ok {
			break
		}
		row.try++
		row.owner = owner
		row.uncertain = false
		row.resent = false
		row.unreachableSince = time.Time{}
		if c.sendPlace(row, now) {
			return
		}
		row.excluded = append(row.excluded, owner)
	}
	c.finishHome(row, tanagermessage.RequestAnswer{
		Failure: c.noOwner(row.spec.Service),
	}, now)
}

func (c *Control) noOwner(service string) *tanagerfailure.Failure {
	if _, known := c.fleet.routes[service]; !known && c.mapped() {
		return tanagerfailure.New(tanagerfailure.UnknownService, "no target offers the service "+service)
	}
	return tanagerfailure.New(tanagerfailure.NoOwner, "no daemon can serve "+service+" at present").After(c.jitter(c.settings.Queue.RetryFloor))
}

// jitter spreads a wait over one to two times its length.
func (c *Control) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.Random.Int64N(int64(d)+1))
}

func (c *Control) sendPlace(row *homeRequest, now time.Time) bool {
	spec := row.spec
	spec.Timeout = row.deadline.Sub(now)
	return c.send(row.owner, tanagermessage.TopicRequestPlace, tanagermessage.RequestPlace{
		Spec: spec,
		Try:  row.try,
	})
}

// placeUnsent takes back a request that certainly did not reach its owner.
func (c *Control) placeUnsent(owner string, m tanagermessage.RequestPlace, now time.Time) {
	row := c.homes.live[m.Spec.ID]
	if row == nil || row.owner != owner || row.try != m.Try || row.uncertain {
		return
	}
	row.excluded = append(row.excluded, owner)
	c.place(row, now)
}

// requestAnswered takes an owner's answer to a try.
func (c *Control) requestAnswered(from string, m tanagermessage.RequestAnswer, now time.Time) {
	c.hinted(from, m.Hint, now)
	row := c.homes.live[m.ID]
	if row == nil || row.owner != from || row.try != m.Try {
		return
	}
	if c.mayTryAgain(row, m, now) {
		row.excluded = append(row.excluded, from)
		c.place(row, now)
		return
	}
	c.finishHome(row, m, now)
}

// mayTryAgain reports whether a request that certainly did not run may be sent
// to another owner that could do better.
func (c *Control) mayTryAgain(row *homeRequest, m tanagermessage.RequestAnswer, now time.Time) bool {
	if m.Failure == nil || row.try >= maxTries || !now.Before(row.deadline) {
		return false
	}
	switch m.Failure.Code {
	case tanagerfailure.NoOwner, tanagerfailure.NoTarget:
		return true
	case tanagerfailure.QueueFull, tanagerfailure.DeadlineUnreachable:
		return row.try == 1 && len(c.fleet.routes[row.spec.Service]) > 1
	}
	return false
}

// chooseOwner picks the owner for a request by the last hints.
func (c *Control) chooseOwner(row *homeRequest, now time.Time) (string, bool) {
	var open []string
	for _, owner := range c.fleet.routes[row.spec.Service] {
		if !slices.Contains(row.excluded, owner) && !c.suspected(owner, now) {
			open = append(open, owner)
		}
	}
	if len(open) == 0 {
		return "", false
	}
	chosen := c.lightest(open, func(owner string) float64 { return c.load(owner, row.spec.Service) })
	c.countSent(chosen, row.spec.Service)
	return chosen, true
}

// load rates an owner's load for a service; less is better.
func (c *Control) load(owner, service string) float64 {
	h := c.hints[owner].services[service]
	if h.slots == 0 {
		return 0
	}
	return float64(h.queued-h.free) / float64(h.slots)
}

// countSent corrects the last hint by what was sent since.
func (c *Control) countSent(owner, service string) {
	services := c.hints[owner].services
	if h, ok := services[service]; ok {
		h.free--
		services[service] = h
	}
}

// lightest returns the member with the least load. In a small cell all are
// compared; in a larger one two at random (Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001), because hints are older there and
// many would choose the same. The list must not be empty.
func (c *Control) lightest(members []string, load func(string) float64) string {
	chosen := members[c.Random.IntN(len(members))]
	if !c.everyoneTold() {
		members = []string{members[c.Random.IntN(len(members))]}
	}
	for _, m := range members {
		if load(m) < load(chosen) {
			chosen = m
		}
	}
	return chosen
}
