package tanagerdispatch

// Load is a summary of a cell for logs and metrics.
type Load struct {
	// Workers counts the workers that may be given new work. Capacity and Used
	// are their CPU in thousandths of a core.
	Workers        int
	Capacity, Used int64
	// Steps with pending tasks, by tier; GangSteps counts the gangs among them.
	LongRunningSteps, OnTimeSteps, LateSteps, ExpiredSteps, GangSteps int
	// ReservedWorkers counts workers with capacity reserved for a gang.
	ReservedWorkers int
	// StepsAwaitingAdvice counts steps with a call for advice in flight;
	// BusyAdvisers of all Advisers have one.
	StepsAwaitingAdvice, Advisers, BusyAdvisers int
	// PredecessorWorkers counts workers that may still run tasks of a predecessor.
	PredecessorWorkers int
	// OpenJobs counts jobs that have not ended.
	OpenJobs int
	// Queues counts the queues that are configured or have jobs.
	Queues int
	// UntriedSteps counts the expired steps whose turn did not come in the last tick.
	UntriedSteps int
	// UnwrittenJobs counts jobs with progress that is neither stored nor being
	// written.
	UnwrittenJobs int
}

// Load returns the summary as of the last Tick.
func (c *Cell) Load() Load {
	l := Load{
		Advisers:           len(c.advisers),
		PredecessorWorkers: len(c.predecessorLeases),
		OpenJobs:           len(c.openJobs),
		Queues:             len(c.queues),
		UntriedSteps:       c.expired.untried,
		UnwrittenJobs:      len(c.dirtyJobs),
	}
	for _, w := range c.workerList {
		if c.acceptsWork(w) {
			l.Workers++
			l.Capacity += w.entry.Capacity.MilliCPU
			l.Used += w.entry.Capacity.MilliCPU - w.free.MilliCPU
		}
		if w.reservedFor != nil {
			l.ReservedWorkers++
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
			l.StepsAwaitingAdvice++
		}
	}
	return l
}

func (l *Load) count(t tier, s *step) {
	switch t {
	case tierLongRunning:
		l.LongRunningSteps++
	case tierOnTime, tierRelaxed:
		l.OnTimeSteps++
	case tierLate, tierLateUrgent:
		l.LateSteps++
	case tierExpired:
		l.ExpiredSteps++
	}
	if s.spec.Gang {
		l.GangSteps++
	}
}
