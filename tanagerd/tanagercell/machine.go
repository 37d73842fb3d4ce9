package tanagercell

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// Machines is the platform's interface to the machines under the workers.
type Machines interface {
	// List returns a page and the token of the next one, empty at the end.
	List(ctx context.Context, token string) ([]tanagerport.Machine, string, error)
	// Upkeep reports whether the order was accepted.
	Upkeep(ctx context.Context, machine string, wave int, epoch uint64) (bool, error)
}

const (
	// machinesInterval spaces the readings of the list while a wave runs.
	machinesInterval = time.Second
	// machinesTimeout bounds one reading of all pages.
	machinesTimeout = 3 * time.Second
)

// watchMachines reads the list of machines while a wave runs.
func (c *control) watchMachines(now time.Time) {
	if c.ports.Machines == nil || c.readingMachines || now.Sub(c.machinesRead) < machinesInterval || !c.cell.WavesRunning() {
		return
	}
	c.readingMachines = true
	c.machinesRead = now
	term := c.term
	go func() {
		machines, err := c.listMachines()
		c.post(machinesListed{
			term:     term,
			machines: machines,
			err:      err,
		})
	}()
}

func (c *control) listMachines() ([]tanagerport.Machine, error) {
	ctx, cancel := context.WithTimeout(c.ctx, machinesTimeout)
	defer cancel()
	var all []tanagerport.Machine
	for token, more := "", true; more; more = token != "" {
		page, next, err := c.ports.Machines.List(ctx, token)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		token = next
	}
	return all, nil
}

type machinesListed struct {
	term     uint64
	machines []tanagerport.Machine
	err      error
}

func (e machinesListed) apply(c *control) {
	c.readingMachines = false
	if e.err != nil {
		c.log.Warn().Str("event", "machines_not_listed").Err(e.err).Send()
		return
	}
	if c.inTerm(e.term) {
		c.cell.SetMachines(e.machines)
	}
}

// orderUpkeeps gives orders for machines, which check no epoch: only while this
// daemon's part was confirmed lately.
func (c *control) orderUpkeeps(orders []tanagerdispatch.UpkeepOrder) {
	confirmed := c.timer.Now().Sub(c.renewedAt) < c.settings.LeaderTTL/2
	term := c.term
	for _, o := range orders {
		if !confirmed {
			c.cell.UpkeepAnswered(c.timer.Now(), o, false)
			continue
		}
		go func() {
			accepted, err := c.ports.Machines.Upkeep(c.ctx, o.Machine, o.Wave, o.Epoch)
			if err != nil {
				c.log.Warn().Str("event", "upkeep_unanswered").Str("machine", o.Machine).Int("wave", o.Wave).Err(err).Send()
			}
			c.post(upkeepAnswered{
				term:     term,
				order:    o,
				accepted: accepted && err == nil,
			})
		}()
	}
}

type upkeepAnswered struct {
	term     uint64
	order    tanagerdispatch.UpkeepOrder
	accepted bool
}

func (e upkeepAnswered) apply(c *control) {
	if c.inTerm(e.term) {
		c.cell.UpkeepAnswered(c.timer.Now(), e.order, e.accepted)
	}
}

// tellWaves writes the state of waves for the operator.
func (c *control) tellWaves(statuses []tanagerdispatch.WaveStatus) {
	term := c.term
	for _, s := range statuses {
		key, value := c.ports.Decoder.WaveStatus(s.Number, s.Completed)
		t := tanagerport.Transaction{
			Expect: []tanagerport.Expectation{c.epochExpectation()},
			Writes: []tanagerport.Write{{
				Key:   key,
				Value: value,
			}},
		}
		c.log.Info().Str("event", "wave_status").Int("wave", s.Number).Bool("completed", s.Completed).Send()
		go func() {
			if _, _, err := c.ports.Store.Commit(c.ctx, t); err != nil {
				c.log.Warn().Str("event", "wave_status_not_written").Int("wave", s.Number).Err(err).Send()
				c.post(waveNotTold{
					term:   term,
					number: s.Number,
				})
			}
		}()
	}
}

type waveNotTold struct {
	term   uint64
	number int
}

func (e waveNotTold) apply(c *control) {
	if c.inTerm(e.term) {
		c.cell.WaveNotTold(e.number)
	}
}
