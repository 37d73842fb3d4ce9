package tanagercell

import (
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
