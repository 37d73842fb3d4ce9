package tanagercell

import (
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
)

// recordStoreError records a failed call to the store. A conflict is not a
// failure: the store has responded.
func (c *control) recordStoreError(err error) {
	if errorx.IsOfType(err, tanagerport.Conflict) {
		return
	}
	storeCallFinished{err: err}.apply(c)
}

// storeCallFinished reports the result of a call to the store.
type storeCallFinished struct{ err error }

func (e storeCallFinished) apply(c *control) {
	now := c.timer.Now()
	up := e.err == nil
	if up {
		c.lastStoreSuccess = now
	}
	if up == c.storeUp {
		return
	}
	c.storeUp = up
	if up {
		c.storeUpSince = now
	} else {
		c.storeDownSince = now
	}
	c.log.Info().Str("event", "store_reached").Bool("up", up).Err(e.err).Send()
}

// storeUptime returns how long all calls to the store have succeeded, 0 while
// they fail.
func (c *control) storeUptime(now time.Time) time.Duration {
	if !c.storeUp {
		return 0
	}
	return now.Sub(c.storeUpSince)
}

type operatorUpdate struct{ page tanagerport.Page }

// applyWave adds an item that holds a maintenance wave. It reports whether the
// item is a wave, also if it cannot be decoded.
func (c *control) applyWave(item tanagerport.Item) bool {
	w, ok, err := c.ports.Decoder.Wave(item)
	if !ok {
		return false
	}
	if err != nil {
		c.log.Error().Str("event", "wave_decode_failed").Str("key", item.Key).Err(err).Send()
		return true
	}
	c.log.Info().Str("event", "wave_read").Int("wave", w.Number).
		Int("machines", len(w.Machines)).Int("cap", w.MaxUnavailable).Send()
	c.waves[w.Number] = w
	if c.cell != nil {
		c.cell.AddWave(c.timer.Now(), w)
	}
	return true
}

type workerUpdate struct {
	page     tanagerport.Page
	snapshot bool
}

// removeUnlisted removes the workers that a listing of all entries lacks.
func (c *control) removeUnlisted(items []tanagerport.Item) {
	prefix := c.ports.Decoder.WorkerPrefix()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[strings.TrimPrefix(item.Key, prefix)] = true
	}
	for id := range c.workers {
		if !listed[id] {
			c.removeWorker(id)
		}
	}
}

// removeWorker removes a worker whose entry is gone. Entries can expire while the
// store is unavailable and return shortly afterwards, so right after an outage a
// worker is kept until its entry has had the time to return.
func (c *control) removeWorker(id string) {
	now := c.timer.Now()
	goneAt := c.storeUpSince.Add(entryReturnTime)
	if _, known := c.workers[id]; !known || !now.Before(goneAt) || c.storeUpSince.Equal(c.startedAt) {
		delete(c.workers, id)
		delete(c.missingWorkers, id)
		return
	}
	if _, missing := c.missingWorkers[id]; !missing {
		c.missingWorkers[id] = goneAt
		c.log.Info().Str("event", "worker_entry_missing").Str("worker", id).
			Dur("store_up_ms", now.Sub(c.storeUpSince)).Send()
	}
}

// removeMissing removes the workers whose entries have not returned in time.
func (c *control) removeMissing(now time.Time) {
	removed := false
	for id, goneAt := range c.missingWorkers {
		if !now.Before(goneAt) {
			delete(c.missingWorkers, id)
			delete(c.workers, id)
			removed = true
		}
	}
	if removed && c.cell != nil {
		c.cell.SetWorkers(now, c.workerList())
	}
}

func (c *control) workerList() []tanagerport.WorkerEntry {
	list := make([]tanagerport.WorkerEntry, 0, len(c.workers))
	for _, e := range c.workers {
		list = append(list, e)
	}
	return list
}
