package tanagercontrol

import "time"

// periodic is a system that runs at an interval.
type periodic struct {
	interval time.Duration
	next     time.Time
	run      func(now time.Time)
}

// schedule holds the periodic systems in their order.
type schedule struct {
	systems []*periodic
	ready   []func(time.Time)
}

func (s *schedule) every(interval time.Duration, run func(now time.Time)) {
	s.systems = append(s.systems, &periodic{
		interval: interval,
		run:      run,
	})
}

// due returns the systems whose time has come.
func (s *schedule) due(now time.Time) []func(time.Time) {
	s.ready = s.ready[:0]
	for _, p := range s.systems {
		if now.Before(p.next) {
			continue
		}
		p.next = now.Add(p.interval)
		s.ready = append(s.ready, p.run)
	}
	return s.ready
}
