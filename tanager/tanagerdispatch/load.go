package tanagerdispatch

// Load is a summary of a cell, for logs and metrics.
type Load struct {
	// Workers are in use; Capacity and Used are their processor time in
	// thousandths of a core.
	Workers        int
	Capacity, Used int64
	// Steps wait for room, by what starting them can still bring; Gangs are
	// among them.
	Lasting, OnTime, Late, Useless, Gangs int
	// Reserved workers keep room for a gang.
	Reserved int
	// Asking steps wait for advice, BusyAdvisers of Advisers are called.
	Asking, Advisers, BusyAdvisers int
	// Inherited workers have not been accounted for.
	Inherited int
	Open      int
	// Unwritten jobs have progress that is not on its way to the store.
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
