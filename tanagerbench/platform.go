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

// delayed is an answer that is due at a time.
type delayed struct {
	due time.Time
	m   *message.Message
}

// platformIO answers everything that the control goroutine starts, with success.
// The answers wait until due delivers them.
type platformIO struct {
	timer   tanagertimer.Service
	pending []delayed
	clock   int64
	tasks   map[string]map[string]*platformTask
	version uint64
	// journalBytes and journalWrites count what went to the store.
	journalBytes  int
	journalWrites int
	syncs         int
}

func newPlatformIO(timer tanagertimer.Service) *platformIO {
	return &platformIO{
		timer: timer,
		tasks: make(map[string]map[string]*platformTask),
	}
}

type platformTask struct {
	report  tanagerplatform.TaskReport
	version uint64
}

func (p *platformIO) reply(delay time.Duration, topic string, value any) {
	m := tanagermessage.Local(value)
	m.Metadata.Set(tanagerpeer.TopicKey, topic)
	m.Metadata.Set(tanagerpeer.FromKey, benchSelf)
	p.pending = append(p.pending, delayed{
		due: p.timer.Now().Add(delay),
		m:   m,
	})
}

// due takes the answers whose time has come.
func (p *platformIO) due() []*message.Message {
	now := p.timer.Now()
	var ready []*message.Message
	kept := p.pending[:0]
	for _, d := range p.pending {
		if d.due.After(now) {
			kept = append(kept, d)
			continue
		}
		ready = append(ready, d.m)
	}
	p.pending = kept
	return ready
}

// Run implements tanagercontrol.Effects.
func (p *platformIO) Run(o tanagercontrol.RunOrder) {
	p.reply(0, tanagermessage.TopicRunFinished, tanagermessage.RunFinished{
		ID:       o.Call.ID,
		Target:   o.Target,
		Status:   200,
		Duration: requestWork,
	})
}

// ProbeTarget implements tanagercontrol.Effects.
func (p *platformIO) ProbeTarget(name string, _ netip.AddrPort) {
	p.reply(0, tanagermessage.TopicTargetProbed, tanagermessage.TargetProbed{
		Target:    name,
		Responded: true,
	})
}

// Sync implements tanagercontrol.Effects.
func (p *platformIO) Sync(o tanagercontrol.SyncOrder) {
	p.clock++
	p.syncs++
	report := tanagerplatform.SyncResponse{
		LeaseBase: p.clock,
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
	p.reply(o.Call.Wait, tanagermessage.TopicWorkerSynced, tanagermessage.WorkerSynced{
		Worker:     o.Worker,
		Epoch:      o.Call.Epoch,
		Report:     report,
		SentAt:     p.timer.Now(),
		ReceivedAt: p.timer.Now().Add(o.Call.Wait),
	})
}

// Start implements tanagercontrol.Effects.
func (p *platformIO) Start(o tanagercontrol.StartOrder) {
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
	p.reply(0, tanagermessage.TopicTasksStarted, tanagermessage.TasksStarted{
		Worker: o.Worker,
		Epoch:  o.Call.Epoch,
		Tasks:  ids,
		Report: tanagerplatform.StartResponse{
			Started: ids,
		},
	})
}

// endAll ends every task, as its worker would.
func (p *platformIO) endAll() {
	for _, tasks := range p.tasks {
		for _, t := range tasks {
			p.version++
			t.version = p.version
			t.report.State = tanagerplatform.Ended
		}
	}
}

// Stop implements tanagercontrol.Effects.
func (*platformIO) Stop(tanagercontrol.StopOrder) {}

// SwapMap implements tanagercontrol.Effects.
func (*platformIO) SwapMap(tanagershard.Map, uint64) {}

// LoadJournal implements tanagercontrol.Effects.
func (p *platformIO) LoadJournal(shard tanagershard.Shard, epoch uint64) {
	p.reply(0, tanagermessage.TopicJournalLoaded, tanagermessage.JournalLoaded{
		Shard: shard,
		Epoch: epoch,
	})
}

// AppendJournal implements tanagercontrol.Effects.
func (p *platformIO) AppendJournal(shard tanagershard.Shard, epoch uint64, payload, state []byte) {
	p.journalBytes += len(payload) + len(state)
	p.journalWrites++
	p.reply(0, tanagermessage.TopicJournalWritten, tanagermessage.JournalWritten{
		Shard: shard,
		Epoch: epoch,
	})
}

// Respond implements tanagercontrol.Effects.
func (*platformIO) Respond(uint64, any) {}

// Drained implements tanagercontrol.Effects.
func (*platformIO) Drained() {}

type nowhere struct{}

// Publish implements message.Publisher.
func (nowhere) Publish(string, ...*message.Message) error { return nil }

// Close implements message.Publisher.
func (nowhere) Close() error { return nil }

// Set implements tanagercontrol.Directory.
func (nowhere) Set(tanagermessage.Member) {}
