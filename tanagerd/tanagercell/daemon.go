package tanagercell

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwork"
)

const (
	// peerQueue and peerInbox bound the messages that wait in a daemon.
	peerQueue = 4096
	peerInbox = 8192
	// peerDial and peerWrite bound the operations on a connection to a peer.
	peerDial  = 500 * time.Millisecond
	peerWrite = time.Second
)

// Daemon is one member of a cell.
type Daemon struct {
	control   *control
	desk      *Desk
	committer *committer
	transport *tanagerpeer.Transport
	cancel    context.CancelFunc
}

// New returns a daemon that does nothing until Run.
func New(s Settings, p Ports, timer tanagertimer.Service, metrics Metrics, log zerolog.Logger) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	random := rand.New(rand.NewPCG(uint64(timer.Now().UnixNano()), uint64(s.PeerAddress.Port())))
	member := memberName(s.PeerAddress, strconv.FormatUint(random.Uint64(), 36))
	transport := tanagerpeer.New(tanagerpeer.Settings{
		Self:         member,
		Token:        s.PeerToken,
		QueueLength:  peerQueue,
		InboxLength:  peerInbox,
		DialTimeout:  peerDial,
		WriteTimeout: peerWrite,
	}, Directory{})
	c := &control{
		settings:  s,
		ports:     p,
		timer:     timer,
		log:       log.With().Str("daemon", s.Name).Logger(),
		metrics:   metrics,
		transport: transport,
		member:    member,
		candidate: &candidate{
			store:  p.Store,
			member: member,
			ttl:    s.LeaderTTL,
		},
		random:    random,
		started:   timer.Now(),
		ctx:       ctx,
		events:    make(chan event, eventQueue),
		fleet:     make(map[string]tanagerport.WorkerEntry),
		hints:     make(map[string]tanagerdispatch.Hint),
		storeUp:   true,
		storeBack: timer.Now(),
		questions: make(map[uint64]chan stateTold),
		forwards:  make(map[uint64]chan tanagerport.Reply),
		resets:    make(map[string]time.Time),
		waves:     make(map[int]tanagerport.Wave),
	}
	c.publishView()
	d := &Daemon{
		control:   c,
		committer: newCommitter(p.Store),
		transport: transport,
		cancel:    cancel,
	}
	d.desk = &Desk{
		control:   c,
		committer: d.committer,
		final:     make(map[tanagerwork.JobID]tanagerwork.State),
	}
	c.desk = d.desk
	d.wireCommitter()
	return d
}

func (d *Daemon) wireCommitter() {
	c := d.control
	d.committer.lead = func() (uint64, int64) {
		v := c.view.Load()
		return v.epoch, v.epochRevision
	}
	d.committer.learned = func(item tanagerport.Item) {
		done := make(chan struct{})
		c.post(leadLearned{
			item: item,
			done: done,
		})
		select {
		case <-done:
		case <-c.ctx.Done():
		}
	}
	d.committer.stored = func(record tanagerwork.Record) {
		c.post(tell{
			topic: topicJob,
			payload: jobStored{
				Record: record,
				Age:    c.timer.Now().Sub(record.Arrived),
			},
		})
	}
	d.committer.failed = func(jobs int, err error) {
		c.log.Warn().Str("event", "commit_failed").Int("jobs", jobs).Err(err).Send()
	}
	d.committer.unreadable = func(id tanagerwork.JobID, err error) {
		c.log.Error().Str("event", "job_unreadable").Str("job", string(id)).Err(err).Send()
	}
}

// leadLearned applies what a conflict showed and tells when it is in the view.
type leadLearned struct {
	item tanagerport.Item
	done chan struct{}
}

func (e leadLearned) apply(c *control) {
	c.learnLead(e.item)
	c.publishView()
	close(e.done)
}

// Desk returns what answers callers.
func (d *Daemon) Desk() *Desk { return d.desk }

// PeerHandler returns the handler of the peers' address.
func (d *Daemon) PeerHandler() http.Handler { return d.transport }

// Run serves until Close.
func (d *Daemon) Run() error {
	c := d.control
	inbox, err := d.transport.Subscribe(c.ctx, tanagerpeer.AllTopics)
	if err != nil {
		return errorx.Decorate(err, "subscribe")
	}
	c.log.Info().Str("event", "daemon_start").Str("member", c.member).Send()
	reached := func(err error) { c.post(storeReached{err: err}) }
	followers := []*follower{
		{
			prefix:  leadPrefix,
			changed: func(p tanagerport.Page, whole bool) { c.post(leadRead{page: p, whole: whole}) },
		},
		{
			prefix:  c.ports.Decoder.OperatorPrefix(),
			changed: func(p tanagerport.Page, _ bool) { c.post(operatorRead{page: p}) },
		},
	}
	for _, f := range followers {
		f.store = c.ports.Store
		f.reached = reached
		go f.run(c.ctx)
	}
	go d.committer.run(c.ctx)
	go d.followAsScheduler()
	c.run(inbox)
	return nil
}

// followAsScheduler follows what only the scheduler needs, while this daemon is
// the scheduler.
func (d *Daemon) followAsScheduler() {
	c := d.control
	for c.ctx.Err() == nil {
		if c.view.Load().scheduler != c.member {
			sleep(c.ctx, tickInterval)
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		// The followers that each daemon has tell whether the store serves.
		unheard := func(error) {}
		fleet := &follower{
			store:   c.ports.Store,
			prefix:  c.ports.Decoder.WorkerPrefix(),
			changed: func(p tanagerport.Page, whole bool) { c.post(fleetRead{page: p, whole: whole}) },
			reached: unheard,
		}
		intake := &follower{
			store:   c.ports.Store,
			prefix:  intakePrefix,
			pause:   intakePause,
			changed: func(p tanagerport.Page, _ bool) { c.post(intakeRead{page: p}) },
			reached: unheard,
		}
		go fleet.run(ctx)
		go intake.run(ctx)
		for c.ctx.Err() == nil && c.view.Load().scheduler == c.member {
			sleep(ctx, tickInterval)
		}
		cancel()
	}
}

// Resign makes the daemon not ready and hands its part as the scheduler over.
func (d *Daemon) Resign() {
	done := make(chan struct{})
	d.control.post(resign{done: done})
	select {
	case <-done:
	case <-d.control.ctx.Done():
	}
}

// Close ends Run. Calls in flight are cut off.
func (d *Daemon) Close() error {
	d.control.log.Info().Str("event", "daemon_stop").Send()
	d.cancel()
	return d.transport.Close()
}
