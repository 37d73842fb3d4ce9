package tanagercell

import (
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// view is what callers' goroutines see of the control state.
type view struct {
	configuration *tanagerport.Configuration
	scheduler     string
	epoch         uint64
	epochRevision int64
	hints         map[string]tanagerdispatch.Hint
	hintsAt       time.Time
	storeUp       bool
	stopping      bool
}

func (c *control) publishView() {
	c.view.Store(&view{
		configuration: c.configuration,
		scheduler:     c.lead.holder.Member,
		epoch:         c.lead.epoch,
		epochRevision: c.lead.epochRevision,
		hints:         c.hints,
		hintsAt:       c.hintsAt,
		storeUp:       c.storeUp,
		stopping:      c.stopping,
	})
}
