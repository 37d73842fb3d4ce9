package tanagerdispatch

// Load is a summary of a cell for logs and metrics.
type Load struct {
	// Workers counts the workers that may be given new work. Capacity and Used
	// are their CPU in thousandths of a core.
	Workers        int
	Capacity, Used int64
	// Steps with pending tasks, by tier; Gangs are those of them that are gangs.
	Lasting, OnTime, Late, Useless, Gangs int
	// Reserved counts workers with capacity reserved for a gang.
	Reserved int
	// Asking counts steps with a call for advice in flight; BusyAdvisers of all
	// Advisers have one.
	Asking, Advisers, BusyAdvisers int
	// Inherited counts workers that may still run tasks of a predecessor.
	Inherited int
	// Open counts jobs that have not ended.
	Open int
	// Unwritten counts jobs with progress that is neither stored nor being
	// written.
	Unwritten int
}

// Load returns the summary as of the last Tick.
func (c *Cell) Load() Load {
	l := Load{
		Advisers:  len(c.advisers),
		Inherited: len(c.predecessorLeases),
		Open:      len(c.openJobs),
		Unwritten: len(c.dirtyJobs),
	}
	for _, w := range c.workers {
		if c.acceptsWork(w) {
			l.Workers++
			l.Capacity += w.entry.Capacity.MilliCPU
			l.Used += w.entry.Capacity.MilliCPU - w.free.MilliCPU
		}
		if w.reservedFor != nil {
			l.Reserved++
		}
	}
	for _, a := range c.advisers {
		if c.now.Before(a.busyUntil) {
			l.BusyAdvisers++
		}
	}
	for _, s := range c.readySteps {
		l.count(c.rank(s).tier, s)
		if s.advice.callInFlight(c.now) {
			l.Asking++
		}
	}
	return l
}

func (l *Load) count(t tier, s *step) {
	switch t {
	case tierLongRunning:
		l.Lasting++
	case tierOnTime:
		l.OnTime++
	case tierLate:
		l.Late++
	case tierExpired:
		l.Useless++
	}
	if s.spec.Gang {
		l.Gangs++
	}
}
