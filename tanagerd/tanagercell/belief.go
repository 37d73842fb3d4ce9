package tanagercell

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
)

// noteStore remembers that the store did not serve a call.
func (c *control) noteStore(err error) {
	if errorx.IsOfType(err, tanagerport.Conflict) {
		return
	}
	storeReached{err: err}.apply(c)
}

// storeReached tells that the store served a call, or why it did not.
type storeReached struct{ err error }

func (e storeReached) apply(c *control) {
	now := c.timer.Now()
	up := e.err == nil
	if up {
		c.storeServed = now
	}
	if up == c.storeUp {
		return
	}
	c.storeUp = up
	if up {
		c.storeBack = now
	} else {
		c.storeLost = now
	}
	c.log.Info().Str("event", "store_reached").Bool("up", up).Err(e.err).Send()
}

// storeSteady is how long the store has served this daemon without a failure.
func (c *control) storeSteady(now time.Time) time.Duration {
	if !c.storeUp {
		return 0
	}
	return now.Sub(c.storeBack)
}

type operatorRead struct{ page tanagerport.Page }

// waveRead reports whether an item was a wave, and adds it.
func (c *control) waveRead(i tanagerport.Item) bool {
	w, ok, err := c.ports.Decoder.Wave(i)
	if !ok {
		return false
	}
	if err != nil {
		c.log.Error().Str("event", "wave_unreadable").Str("key", i.Key).Err(err).Send()
		return true
	}
	c.log.Info().Str("event", "wave_read").Int("wave", w.Number).Int("machines", len(w.Machines)).Int("cap", w.Cap).Send()
	c.waves[w.Number] = w
	if c.cell != nil {
		c.cell.AddWave(c.timer.Now(), w)
	}
	return true
}

type fleetRead struct {
	page  tanagerport.Page
	whole bool
}

func (c *control) fleetList() []tanagerport.WorkerEntry {
	list := make([]tanagerport.WorkerEntry, 0, len(c.fleet))
	for _, e := range c.fleet {
		list = append(list, e)
	}
	return list
}
