package main

import (
	"net/netip"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagercontrol"
	"tanagersail.example/tanagerd/tanagermessage"
)

// pendingResponse is a response that is to be delivered at time due.
type pendingResponse struct {
	due     time.Time
	message *message.Message
}

// fakePlatform implements tanagercontrol.Effects: it responds to every
// operation of the control loop with success. takeDue returns the responses once
// they are due.
type fakePlatform struct {
	timer     tanagertimer.Service
	pending   []pendingResponse
	leaseBase int64
	// tasks holds the tasks by worker and task id.
	tasks map[string]map[string]*platformTask
	// version counts the changes of tasks on all workers.
	version uint64
	// journalBytes and journalWrites count the data written to the store.
	journalBytes  int
	journalWrites int
	syncs         int
}

func newFakePlatform(timer tanagertimer.Service) *fakePlatform {
	return &fakePlatform{
		timer: timer,
		tasks: make(map[string]map[string]*platformTask),
	}
}

// platformTask is a task on a worker and the version at its last change.
type platformTask struct {
	report  tanagerplatform.TaskReport
	version uint64
}

// respond schedules the delivery of a message after a delay.
func (p *fakePlatform) respond(delay time.Duration, topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, daemonID)
	p.pending = append(p.pending, pendingResponse{
		due:     p.timer.Now().Add(delay),
		message: m,
	})
}

// takeDue removes the responses that are due and returns them.
func (p *fakePlatform) takeDue() []*message.Message {
	now := p.timer.Now()
	var due []*message.Message
	remaining := p.pending[:0]
	for _, r := range p.pending {
		if r.due.After(now) {
			remaining = append(remaining, r)
			continue
		}
		due = append(due, r.message)
	}
	p.pending = remaining
	return due
}

// Run implements tanagercontrol.Effects.
func (p *fakePlatform) Run(o tanagercontrol.RunOrder) {
	p.respond(0, tanagermessage.TopicRunFinished, tanagermessage.RunFinished{
		ID:       o.Call.ID,
		Target:   o.Target,
		Status:   200,
		Duration: meanServiceTime,
	})
}

// ProbeTarget implements tanagercontrol.Effects.
func (p *fakePlatform) ProbeTarget(name string, _ netip.AddrPort) {
	p.respond(0, tanagermessage.TopicTargetProbed, tanagermessage.TargetProbed{
		Target:    name,
		Responded: true,
	})
}

// Sync implements tanagercontrol.Effects.
func (p *fakePlatform) Sync(o tanagercontrol.SyncOrder) {
	p.leaseBase++
	p.syncs++
	report := tanagerplatform.SyncResponse{
		LeaseBase: p.leaseBase,
		Version:   p.version,
	}
	for _, id := range o.Call.Acknowledged {
		delete(p.tasks[o.Worker], id)
	}
	for _, t := range p.tasks[o.Worker] {
		if t.version > o.Call.After {
			report.Tasks = append(report.Tasks, t.report)
		}
	}
	p.respond(o.Call.Wait, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
		Worker:     o.Worker,
		Epoch:      o.Call.Epoch,
		Report:     report,
		SentAt:     p.timer.Now(),
		ReceivedAt: p.timer.Now().Add(o.Call.Wait),
	})
}

// Start implements tanagercontrol.Effects.
func (p *fakePlatform) Start(o tanagercontrol.StartOrder) {
	var ids []string
	for _, task := range o.Call.Tasks {
		ids = append(ids, task.ID)
		p.version++
		if p.tasks[o.Worker] == nil {
			p.tasks[o.Worker] = make(map[string]*platformTask)
		}
		p.tasks[o.Worker][task.ID] = &platformTask{
			report: tanagerplatform.TaskReport{
				ID:     task.ID,
				State:  tanagerplatform.Running,
				Usage:  task.Resources,
				Record: task.Record,
			},
			version: p.version,
		}
	}
	p.respond(0, tanagermessage.TopicTasksStarted, tanagermessage.TasksStarted{
		Worker: o.Worker,
		Epoch:  o.Call.Epoch,
		Tasks:  ids,
		Report: tanagerplatform.StartResponse{
			Started: ids,
		},
	})
}

// endAllTasks marks every task as ended, for the next report of its worker.
func (p *fakePlatform) endAllTasks() {
	for _, tasks := range p.tasks {
		for _, t := range tasks {
			p.version++
			t.version = p.version
			t.report.State = tanagerplatform.Ended
		}
	}
}

// Stop implements tanagercontrol.Effects.
func (*fakePlatform) Stop(tanagercontrol.StopOrder) {}

// WriteShardMap implements tanagercontrol.Effects.
func (*fakePlatform) WriteShardMap(tanagershard.Map, uint64) {}

// LoadJournal implements tanagercontrol.Effects.
func (p *fakePlatform) LoadJournal(shard tanagershard.Shard, epoch uint64) {
	p.respond(0, tanagermessage.TopicJournalLoaded, tanagermessage.JournalLoaded{
		Shard: shard,
		Epoch: epoch,
	})
}

// AppendJournal implements tanagercontrol.Effects.
func (p *fakePlatform) AppendJournal(shard tanagershard.Shard, epoch uint64, payload, state []byte) {
	p.journalBytes += len(payload) + len(state)
	p.journalWrites++
	p.respond(0, tanagermessage.TopicJournalWritten, tanagermessage.JournalWritten{
		Shard: shard,
		Epoch: epoch,
	})
}

// Respond implements tanagercontrol.Effects.
func (*fakePlatform) Respond(uint64, any) {}

// Drained implements tanagercontrol.Effects.
func (*fakePlatform) Drained() {}

// noopPeers discards the messages to other daemons and their addresses.
type noopPeers struct{}

// Publish implements message.Publisher.
func (noopPeers) Publish(string, ...*message.Message) error { return nil }

// Close implements message.Publisher.
func (noopPeers) Close() error { return nil }

// Set implements tanagercontrol.Directory.
func (noopPeers) Set(tanagermessage.Member) {}
