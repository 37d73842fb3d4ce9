package tanagerdispatch

// maxExpiredSteps bounds the expired steps that one tick tries to place, so that
// a backlog of them takes no noticeable time.
const maxExpiredSteps = 32

// expiredTurns lets expired steps take turns, as each tick tries only some of them
// and many may be unable to start. In one round each step is tried once.
type expiredTurns struct {
	round int64
	// tried counts the steps that took their turn in this tick, untried those whose
	// turn in the round is still to come.
	tried, untried int
}

// beginTick begins a new round if the last tick has ended one.
func (e *expiredTurns) beginTick() {
	if e.untried == 0 {
		e.round++
	}
	e.tried, e.untried = 0, 0
}

// tryExpired reports whether the present tick tries to place an expired step.
// Steps with tickets or reserved capacity are always tried, since both are of use
// only for a short time. Gangs take their turns in ticks that compute reservations.
func (c *Cell) tryExpired(s *step, reserving bool) bool {
	switch {
	case s.advice.mayHoldTickets(c.now) || len(s.gang.reservation) > 0:
		return true
	case s.expiredRound == c.expired.round:
		return false
	case c.expired.tried == maxExpiredSteps || s.spec.Gang && !reserving:
		c.expired.untried++
		return false
	}
	c.expired.tried++
	s.expiredRound = c.expired.round
	return true
}
