package tanagercontrol

import "time"

// periodicStage is a stage of the control loop that runs at an interval.
type periodicStage struct {
	interval time.Duration
	next     time.Time
	run      func(now time.Time)
}

// schedule holds the periodic stages in the order in which they run.
type schedule struct {
	stages []*periodicStage
	ready  []func(time.Time)
}

func (s *schedule) every(interval time.Duration, run func(now time.Time)) {
	s.stages = append(s.stages, &periodicStage{
		interval: interval,
		run:      run,
	})
}

// due returns the stages whose interval has passed and schedules their next
// run. The slice is valid until the next call.
func (s *schedule) due(now time.Time) []func(time.Time) {
	s.ready = s.ready[:0]
	for _, p := range s.stages {
		if now.Before(p.next) {
			continue
		}
		p.next = now.Add(p.interval)
		s.ready = append(s.ready, p.run)
	}
	return s.ready
}
