package tanagercell

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// Machines is the interface to the machines that the workers run on.
type Machines interface {
	// List returns a page and the token of the next one, empty after the last
	// page.
	List(ctx context.Context, token string) ([]tanagerport.Machine, string, error)
	// StartMaintenance requests the maintenance of a machine and reports whether
	// the request was accepted.
	StartMaintenance(ctx context.Context, machine string, wave int, epoch uint64) (bool, error)
}

const (
	// machineListInterval separates two listings while a wave runs.
	machineListInterval = time.Second
	// machineListTimeout bounds the listing of all pages.
	machineListTimeout = 3 * time.Second
)

// refreshMachines lists the machines while a maintenance wave runs.
func (c *control) refreshMachines(now time.Time) {
	if c.ports.Machines == nil || c.listingMachines ||
		now.Sub(c.lastMachineList) < machineListInterval || !c.cell.WavesRunning() {
		return
	}
	c.listingMachines = true
	c.lastMachineList = now
	term := c.term
	go func() {
		machines, err := c.listMachines()
		c.post(machinesListed{
			term:        term,
			requestedAt: now,
			machines:    machines,
			err:         err,
		})
	}()
}

func (c *control) listMachines() ([]tanagerport.Machine, error) {
	ctx, cancel := context.WithTimeout(c.ctx, machineListTimeout)
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
	term uint64
	// requestedAt is when the first page was requested.
	requestedAt time.Time
	machines    []tanagerport.Machine
	err         error
}

func (e machinesListed) apply(c *control) {
	c.listingMachines = false
	if e.err != nil {
		c.log.Warn().Str("event", "machines_not_listed").Err(e.err).Send()
		return
	}
	if c.isCurrentTerm(e.term) {
		c.cell.SetMachines(e.requestedAt, e.machines)
	}
}

// sendMaintenanceOrders sends orders for the maintenance of machines. The
// machines' interface does not check the epoch, so an order is sent only within
// LeaderTTL/2 of the last renewal of the lease. The time is checked again right
// before the call, since the process may have been paused in between.
func (c *control) sendMaintenanceOrders(orders []tanagerdispatch.MaintenanceOrder) {
	validUntil := c.leaseRenewedAt.Add(c.settings.LeaderTTL / 2)
	expired := !c.timer.Now().Before(validUntil)
	term := c.term
	for _, o := range orders {
		if expired {
			c.cell.HandleMaintenanceResponse(c.timer.Now(), o, false)
			continue
		}
		go func() {
			accepted, err := c.startMaintenance(o, validUntil)
			if err != nil {
				c.log.Warn().Str("event", "maintenance_order_failed").
					Str("machine", o.Machine).Int("wave", o.Wave).Err(err).Send()
			}
			c.post(maintenanceCallFinished{
				term:     term,
				order:    o,
				accepted: accepted && err == nil,
			})
		}()
	}
}

// startMaintenance sends an order unless validUntil has passed. The call ends at
// that time as well.
func (c *control) startMaintenance(o tanagerdispatch.MaintenanceOrder, validUntil time.Time) (bool, error) {
	left := validUntil.Sub(c.timer.Now())
	if left <= 0 {
		return false, tanagerport.Refused.New("the lease was last renewed too long ago")
	}
	ctx, cancel := context.WithTimeout(c.ctx, left)
	defer cancel()
	return c.ports.Machines.StartMaintenance(ctx, o.Machine, o.Wave, o.Epoch)
}

type maintenanceCallFinished struct {
	term     uint64
	order    tanagerdispatch.MaintenanceOrder
	accepted bool
}

func (e maintenanceCallFinished) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		c.cell.HandleMaintenanceResponse(c.timer.Now(), e.order, e.accepted)
	}
}

// writeWaveStatus writes the status of maintenance waves for the operator.
func (c *control) writeWaveStatus(statuses []tanagerdispatch.WaveStatus) {
	term := c.term
	for _, s := range statuses {
		key, value := c.ports.Decoder.WaveStatus(s.Number, s.Completed)
		t := tanagerport.Transaction{
			Preconditions: []tanagerport.Precondition{c.epochPrecondition()},
			Writes: []tanagerport.Write{{
				Key:   key,
				Value: value,
			}},
		}
		c.log.Info().Str("event", "wave_status").Int("wave", s.Number).Bool("completed", s.Completed).Send()
		go func() {
			if _, _, err := c.ports.Store.Commit(c.ctx, t); err != nil {
				c.log.Warn().Str("event", "wave_status_not_written").Int("wave", s.Number).Err(err).Send()
				c.post(waveStatusFailed{
					term:   term,
					number: s.Number,
				})
			}
		}()
	}
}

type waveStatusFailed struct {
	term   uint64
	number int
}

func (e waveStatusFailed) apply(c *control) {
	if c.isCurrentTerm(e.term) {
		c.cell.RetryWaveStatus(e.number)
	}
}
