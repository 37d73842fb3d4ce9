package tanagercell

import (
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// view is the part of the control state that other goroutines may read.
type view struct {
	configuration    *tanagerport.Configuration
	scheduler        string
	epoch            uint64
	epochRevision    int64
	hints            map[string]tanagerdispatch.AdmissionHint
	hintsReceivedAt  time.Time
	schedulerHeardAt time.Time
	storeUp          bool
	stopping         bool
}

// configurationVersion returns the version of the configuration, or 0 before the
// first one.
func (v *view) configurationVersion() int64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version
}

func (c *control) publishView() {
	c.view.Store(&view{
		configuration:    c.configuration,
		scheduler:        c.leader.holder.Member,
		epoch:            c.leader.epoch,
		epochRevision:    c.leader.epochRevision,
		hints:            c.hints,
		hintsReceivedAt:  c.hintsReceivedAt,
		schedulerHeardAt: c.schedulerHeardAt,
		storeUp:          c.storeUp,
		stopping:         c.stopping,
	})
}
