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

// taskRow is the table row of one task on a worker of this daemon.
type taskRow struct {
	offer  tanagermessage.TaskOffer
	from   string
	worker string
	// started is set once the worker has confirmed the start.
	started bool
	// sentAt is when the start call was sent, uncertainUntil until when a start
	// call without an answer may still take effect.
	sentAt         time.Time
	uncertainUntil time.Time
	// end is set once the attempt has ended; the worker keeps the result until
	// the end is acknowledged.
	end      tanagermessage.TaskEnd
	charged  tanagerresource.Vector
	relieved map[tanagerplatform.StopMode]bool
}

// taskRecord is what a worker keeps of a task for the next owner.
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

func recordOf(o tanagermessage.TaskOffer) []byte {
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

// hold notes that a task holds resources on a worker.
func (w *workerTables) hold(t *taskRow, demand tanagerresource.Vector, now time.Time) {
	w.tasks[t.id()] = t
	w.rows[t.worker].tasks[t.id()] = t
	t.charged = demand
	w.fleet.Hold(t.worker, tanagerplace.Holding{
		Task:           t.id(),
		Job:            t.offer.Ref.Job,
		Branch:         t.offer.Branch,
		Class:          t.offer.Class,
		Declared:       demand,
		Checkpointable: t.offer.Checkpointable,
		Started:        now,
	})
}

// forget drops the row of a task.
func (w *workerTables) forget(t *taskRow) {
	delete(w.tasks, t.id())
	delete(w.ended, t.id())
	if row := w.rows[t.worker]; row != nil {
		delete(row.tasks, t.id())
	}
}

// refund gives back what a task was charged to its branch.
func (w *workerTables) refund(t *taskRow) {
	w.offers.backlog.Refund(t.offer.Branch, t.offer.Class, t.charged)
	t.charged = tanagerresource.Vector{}
	w.fleet.Release(t.id())
	w.dirty = true
}

// startOn puts a task on a worker. The call to the worker is sent at the end of
// the step, with the other tasks for it.
func (c *Control) startOn(worker string, o tanagermessage.TaskOffer, from string, demand tanagerresource.Vector, now time.Time) {
	row := c.workers.rows[worker]
	t := &taskRow{
		offer:    o,
		from:     from,
		worker:   worker,
		relieved: make(map[tanagerplatform.StopMode]bool),
	}
	c.workers.hold(t, demand, now)
	row.toStart = append(row.toStart, t)
}

// flushStarts sends the start calls that are due, one at a time to a worker.
func (c *Control) flushStarts(now time.Time) {
	for _, row := range c.workers.rows {
		if len(row.toStart) == 0 || row.starting {
			continue
		}
		order := StartOrder{
			Worker:  row.vm.Name,
			Address: row.vm.Address,
			Call: tanagerplatform.StartCall{
				Epoch:     row.epoch,
				LeaseBase: row.base,
				Lease:     c.settings.TaskLease,
			},
		}
		for _, t := range row.toStart {
			t.sentAt = now
			t.uncertainUntil = row.baseAt.Add(c.stretch(c.settings.TaskLease) + lapseSlack)
			order.Call.Tasks = append(order.Call.Tasks, tanagerplatform.Task{
				ID:        t.id(),
				Resources: t.offer.Resources,
				RunTime:   t.offer.RunTime,
				Family:    t.offer.Family,
				Payload:   t.offer.Payload,
				Record:    recordOf(t.offer),
			})
			t.offer.Payload = nil
		}
		row.toStart = nil
		row.starting = true
		c.Effects.Start(order)
	}
}

// tasksStarted takes the result of a start call. Without an answer the tasks
// may run: they stay on the worker until it has told, or until the call can no
// longer take effect.
func (c *Control) tasksStarted(_ string, m tanagermessage.TasksStarted, now time.Time) {
	row := c.workers.rows[m.Worker]
	if row == nil || row.epoch != m.Epoch {
		return
	}
	row.starting = false
	uncertain := m.Err != nil && !errorx.IsOfType(m.Err, tanagerplatform.Unreached) && !errorx.IsOfType(m.Err, tanagerplatform.Fenced)
	if uncertain {
		row.nextSync = now
		return
	}
	if m.Err != nil {
		row.nextSync = now.Add(syncRetry)
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
			c.taskConfirmed(t)
			continue
		}
		c.dropStart(t)
	}
}

// taskConfirmed tells the job's owner that a task runs.
func (c *Control) taskConfirmed(t *taskRow) {
	t.started = true
	c.counters.tasksStarted++
	c.send(t.from, tanagermessage.TopicTaskAnswer, tanagermessage.TaskAnswer{
		Ref:     t.offer.Ref,
		Verdict: tanagermessage.TaskStarted,
		Worker:  t.worker,
	})
}

// dropStart takes back a task that certainly was not started.
func (c *Control) dropStart(t *taskRow) {
	c.workers.refund(t)
	c.workers.forget(t)
	c.refuseOffer(t.offer, t.from)
}

// settleStarts takes back the tasks that a worker does not report although
// their start call could no longer take effect when it was asked.
func (c *Control) settleStarts(row *workerRow, asked time.Time) {
	if row.starting {
		return
	}
	for _, t := range row.tasks {
		if t.started || t.end != "" || t.sentAt.IsZero() {
			continue
		}
		if asked.After(t.uncertainUntil) {
			c.dropStart(t)
		}
	}
}

// taskStopAsked stops a task for the owner of its job. An attempt that is not
// known here, or waits, is refused for good.
func (c *Control) taskStopAsked(from string, m tanagermessage.TaskStop, now time.Time) {
	if m.Epoch < c.jobEpoch(m.Shard) {
		return
	}
	id := m.Ref.String()
	if t := c.workers.tasks[id]; t != nil {
		if row := c.workers.rows[t.worker]; row != nil && t.end == "" {
			c.stopOn(row, tanagerplatform.Stop, id)
		}
		return
	}
	c.workers.offers.withdraw(id, now)
	c.send(from, tanagermessage.TopicTaskAnswer, tanagermessage.TaskAnswer{
		Ref:     m.Ref,
		Verdict: tanagermessage.TaskRefused,
	})
}

// moveServices stops the services on a leaving worker, so that their jobs start
// them elsewhere.
func (c *Control) moveServices(row *workerRow) {
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
		c.stopOn(row, tanagerplatform.Checkpoint, checkpoint...)
	}
	if len(stop) > 0 {
		c.stopOn(row, tanagerplatform.Stop, stop...)
	}
}
