package tanagercontrol

import (
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerjob"
	"tanagersail.example/tanager/tanagerplace"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

// taskRow is the state of one task on a worker of this daemon.
type taskRow struct {
	offer    tanagermessage.TaskOffer
	jobOwner string
	worker   string
	// started is set once the worker has confirmed the start.
	started bool
	// sentAt is when the start call was sent. Until uncertainUntil, a start
	// call without a response may still take effect.
	sentAt         time.Time
	uncertainUntil time.Time
	// end is set once the attempt has ended. The worker keeps the result until
	// the end is acknowledged.
	end tanagermessage.AttemptEnd
	// charged are the resources charged to the branch for this task.
	charged     tanagerresource.Vector
	reclaimedBy map[tanagerplatform.StopMode]bool
}

// taskRecord is stored with a task on its worker, so that the successor can
// rebuild the row of the task.
type taskRecord struct {
	Shard          tanagershard.Shard     `json:"shard"`
	Ref            tanagerjob.TaskRef     `json:"ref"`
	Branch         string                 `json:"branch"`
	Class          tanagerqueue.Class     `json:"class"`
	Kind           tanagerjob.Kind        `json:"kind"`
	Resources      tanagerresource.Vector `json:"resources"`
	Family         string                 `json:"family,omitempty"`
	Checkpointable bool                   `json:"checkpointable,omitempty"`
}

func encodeRecord(o tanagermessage.TaskOffer) []byte {
	return tanagerwire.Encode(taskRecord{
		Shard:          o.Shard,
		Ref:            o.Ref,
		Branch:         o.Branch,
		Class:          o.Class,
		Kind:           o.Kind,
		Resources:      o.Resources,
		Family:         o.Family,
		Checkpointable: o.Checkpointable,
	})
}

func (r taskRecord) offer() tanagermessage.TaskOffer {
	return tanagermessage.TaskOffer{
		Shard:          r.Shard,
		Ref:            r.Ref,
		Branch:         r.Branch,
		Class:          r.Class,
		Kind:           r.Kind,
		Resources:      r.Resources,
		Family:         r.Family,
		Checkpointable: r.Checkpointable,
	}
}

func (t *taskRow) id() string { return t.offer.Ref.String() }

func (t *taskRow) family() tanagerplace.FamilyKey {
	return tanagerplace.FamilyKey{
		Branch: t.offer.Branch,
		Family: t.offer.Family,
	}
}

// addTask adds a task to a worker and allocates its resources.
func (w *workerTables) addTask(t *taskRow, demand tanagerresource.Vector, now time.Time) {
	w.tasks[t.id()] = t
	w.rows[t.worker].tasks[t.id()] = t
	t.charged = demand
	w.fleet.Allocate(t.worker, tanagerplace.Allocation{
		Task:           t.id(),
		Job:            t.offer.Ref.Job,
		Branch:         t.offer.Branch,
		Class:          t.offer.Class,
		Declared:       demand,
		Checkpointable: t.offer.Checkpointable,
		Started:        now,
	})
}

// forgetTask removes the row of a task.
func (w *workerTables) forgetTask(t *taskRow) {
	delete(w.tasks, t.id())
	delete(w.unacknowledged, t.id())
	if row := w.rows[t.worker]; row != nil {
		delete(row.tasks, t.id())
	}
}

// releaseTask releases the resources of a task and the charge to its branch.
func (w *workerTables) releaseTask(t *taskRow) {
	w.offers.backlog.Refund(t.offer.Branch, t.offer.Class, t.charged)
	t.charged = tanagerresource.Vector{}
	w.fleet.Release(t.id())
	w.placementDue = true
}

// startOnWorker allocates a task to a worker. The start call is sent at the end
// of the step, together with the other tasks for the worker.
func (c *Control) startOnWorker(worker string, o tanagermessage.TaskOffer, jobOwner string,
	demand tanagerresource.Vector, now time.Time) {
	row := c.workers.rows[worker]
	t := &taskRow{
		offer:       o,
		jobOwner:    jobOwner,
		worker:      worker,
		reclaimedBy: make(map[tanagerplatform.StopMode]bool),
	}
	c.workers.addTask(t, demand, now)
	row.pendingStarts = append(row.pendingStarts, t)
}

// sendStarts sends the start calls that are due, at most one at a time to each
// worker.
func (c *Control) sendStarts(now time.Time) {
	for _, row := range c.workers.rows {
		if len(row.pendingStarts) == 0 || row.starting {
			continue
		}
		order := StartOrder{
			Worker:  row.vm.Name,
			Address: row.vm.Address,
			Call: tanagerplatform.StartCall{
				Epoch:     row.epoch,
				LeaseBase: row.leaseBase,
				Lease:     c.settings.TaskLease,
			},
		}
		for _, t := range row.pendingStarts {
			t.sentAt = now
			t.uncertainUntil = row.leaseBaseAt.Add(c.addClockDrift(c.settings.TaskLease) + leaseExpirySlack)
			order.Call.Tasks = append(order.Call.Tasks, tanagerplatform.Task{
				ID:        t.id(),
				Resources: t.offer.Resources,
				RunTime:   t.offer.RunTime,
				Family:    t.offer.Family,
				Payload:   t.offer.Payload,
				Record:    encodeRecord(t.offer),
			})
			t.offer.Payload = nil
		}
		row.pendingStarts = nil
		row.starting = true
		c.Effects.Start(order)
	}
}

// handleTasksStarted handles the result of a start call. Without a response the
// tasks may run: they stay on the worker until its report shows them, or until
// the call can no longer take effect.
func (c *Control) handleTasksStarted(_ string, m tanagermessage.TasksStarted, now time.Time) {
	row := c.workers.rows[m.Worker]
	if row == nil || row.epoch != m.Epoch {
		return
	}
	row.starting = false
	uncertain := m.Err != nil &&
		!errorx.IsOfType(m.Err, tanagerplatform.Unreachable) && !errorx.IsOfType(m.Err, tanagerplatform.Fenced)
	if uncertain {
		row.nextSync = now
		return
	}
	if m.Err != nil {
		row.nextSync = now.Add(syncRetryDelay)
	}
	started := make(map[string]bool, len(m.Report.Started))
	for _, id := range m.Report.Started {
		started[id] = true
	}
	for _, id := range m.Tasks {
		t := c.workers.tasks[id]
		if t == nil || t.started || t.end != "" {
			continue
		}
		if started[id] {
			c.startConfirmed(t)
			continue
		}
		c.revertStart(t)
	}
}

// startConfirmed tells the job's owner that a task runs.
func (c *Control) startConfirmed(t *taskRow) {
	t.started = true
	c.counters.tasksStarted++
	c.send(t.jobOwner, tanagermessage.TopicOfferResponse, tanagermessage.OfferResponse{
		Ref:    t.offer.Ref,
		Result: tanagermessage.OfferStarted,
		Worker: t.worker,
	})
}

// revertStart removes a task that certainly was not started.
func (c *Control) revertStart(t *taskRow) {
	c.workers.releaseTask(t)
	c.workers.forgetTask(t)
	c.rejectOffer(t.offer, t.jobOwner)
}

// resolveStarts releases the tasks that a worker did not report, if their start
// call could no longer take effect when the report was requested.
func (c *Control) resolveStarts(row *workerRow, requestedAt time.Time) {
	if row.starting {
		return
	}
	for _, t := range row.tasks {
		if t.started || t.end != "" || t.sentAt.IsZero() {
			continue
		}
		if requestedAt.After(t.uncertainUntil) {
			c.revertStart(t)
		}
	}
}

// handleStopAttempt stops a task for the owner of its job. An attempt that is
// not known here, or still waits to be placed, is withdrawn.
func (c *Control) handleStopAttempt(from string, m tanagermessage.StopAttempt, now time.Time) {
	if m.Epoch < c.jobEpoch(m.Shard) {
		return
	}
	id := m.Ref.String()
	if t := c.workers.tasks[id]; t != nil {
		if row := c.workers.rows[t.worker]; row != nil && t.end == "" {
			c.sendStop(row, tanagerplatform.Stop, id)
		}
		return
	}
	c.workers.offers.withdraw(id, now)
	c.send(from, tanagermessage.TopicOfferResponse, tanagermessage.OfferResponse{
		Ref:    m.Ref,
		Result: tanagermessage.OfferRejected,
	})
}

// evictServices stops the services on a leaving worker, so that the owners of
// their jobs start them elsewhere.
func (c *Control) evictServices(row *workerRow) {
	var checkpoint, stop []string
	for id, t := range row.tasks {
		if t.end != "" || t.offer.Kind != tanagerjob.Service {
			continue
		}
		if t.offer.Checkpointable {
			checkpoint = append(checkpoint, id)
			continue
		}
		stop = append(stop, id)
	}
	if len(checkpoint) > 0 {
		c.sendStop(row, tanagerplatform.Checkpoint, checkpoint...)
	}
	if len(stop) > 0 {
		c.sendStop(row, tanagerplatform.Stop, stop...)
	}
}
