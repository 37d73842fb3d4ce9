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
	// peerQueueLength bounds the messages queued for one peer, peerInboxLength
	// those received and not yet processed.
	peerQueueLength = 4096
	peerInboxLength = 8192
	// peerDialTimeout and peerWriteTimeout bound the operations on a connection
	// to a peer.
	peerDialTimeout  = 500 * time.Millisecond
	peerWriteTimeout = time.Second
)

// Daemon is a member of a cell.
type Daemon struct {
	control   *control
	frontend  *Frontend
	committer *committer
	transport *tanagerpeer.Transport
	cancel    context.CancelFunc
}

// New returns a daemon. It starts no goroutine and sends nothing before Run.
func New(s Settings, p Ports, timer tanagertimer.Service, metrics Metrics, log zerolog.Logger) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	random := rand.New(rand.NewPCG(uint64(timer.Now().UnixNano()), uint64(s.PeerAddress.Port())))
	member := memberName(s.PeerAddress, strconv.FormatUint(random.Uint64(), 36))
	transport := tanagerpeer.New(tanagerpeer.Settings{
		Self:         member,
		Token:        s.PeerToken,
		QueueLength:  peerQueueLength,
		InboxLength:  peerInboxLength,
		DialTimeout:  peerDialTimeout,
		WriteTimeout: peerWriteTimeout,
		Dial:         s.PeerDial,
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
		random:         random,
		startedAt:      timer.Now(),
		ctx:            ctx,
		events:         make(chan event, eventQueueLength),
		workers:        make(map[string]tanagerport.WorkerEntry),
		missingWorkers: make(map[string]time.Time),
		entryRevisions: make(map[string]int64),
		hints:          make(map[string]tanagerdispatch.AdmissionHint),
		storeUp:        true,
		storeUpSince:   timer.Now(),
		stateReplies:   make(map[uint64]chan stateResponse),
		forwardReplies: make(map[uint64]chan tanagerport.Reply),
		lastReset:      make(map[string]time.Time),
		waves:          make(map[int]tanagerport.Wave),
	}
	c.publishView()
	d := &Daemon{
		control:   c,
		committer: newCommitter(p.Store),
		transport: transport,
		cancel:    cancel,
	}
	d.frontend = &Frontend{
		control:     c,
		committer:   d.committer,
		finalStates: make(map[tanagerwork.JobID]tanagerwork.State),
	}
	c.frontend = d.frontend
	d.connectCommitter()
	return d
}

func (d *Daemon) connectCommitter() {
	c := d.control
	d.committer.currentEpoch = func() (uint64, int64) {
		v := c.view.Load()
		return v.epoch, v.epochRevision
	}
	d.committer.onEpochItem = func(item tanagerport.Item) {
		done := make(chan struct{})
		c.post(epochConflict{
			item: item,
			done: done,
		})
		select {
		case <-done:
		case <-c.ctx.Done():
		}
	}
	d.committer.onStored = func(record tanagerwork.Record) {
		c.post(notifyScheduler{
			topic: topicJob,
			payload: jobStored{
				Record: record,
				Age:    c.timer.Now().Sub(record.Arrived),
			},
		})
	}
	d.committer.onCommitError = func(jobs int, err error) {
		c.log.Warn().Str("event", "commit_failed").Int("jobs", jobs).Err(err).Send()
	}
	d.committer.onEncodeError = func(id tanagerwork.JobID, err error) {
		c.log.Error().Str("event", "job_encode_failed").Str("job", string(id)).Err(err).Send()
	}
	d.committer.onDecodeError = func(id tanagerwork.JobID, err error) {
		c.log.Error().Str("event", "job_decode_failed").Str("job", string(id)).Err(err).Send()
	}
}

// epochConflict applies the epoch's item that a conflict returned and closes
// done once the view reflects it.
type epochConflict struct {
	item tanagerport.Item
	done chan struct{}
}

func (e epochConflict) apply(c *control) {
	c.applyLeaderItem(e.item)
	c.publishView()
	close(e.done)
}

// Frontend returns the service that handles the callers' requests.
func (d *Daemon) Frontend() *Frontend { return d.frontend }

// PeerHandler returns the HTTP handler for connections from other daemons.
func (d *Daemon) PeerHandler() http.Handler { return d.transport }

// Run serves until Close. It returns an error if it cannot subscribe to
// messages.
func (d *Daemon) Run() error {
	c := d.control
	inbox, err := d.transport.Subscribe(c.ctx, tanagerpeer.AllTopics)
	if err != nil {
		return errorx.Decorate(err, "subscribe")
	}
	c.log.Info().Str("event", "daemon_start").Str("member", c.member).Send()
	onCallFinished := func(_ time.Time, err error) { c.post(storeCallFinished{err: err}) }
	watchers := []*watcher{
		{
			prefix:   leaderPrefix,
			onChange: func(p tanagerport.Page, snapshot bool) { c.post(leaderUpdate{page: p, snapshot: snapshot}) },
		},
		{
			prefix:   c.ports.Decoder.OperatorPrefix(),
			onChange: func(p tanagerport.Page, _ bool) { c.post(operatorUpdate{page: p}) },
		},
	}
	for _, w := range watchers {
		w.store = c.ports.Store
		w.timer = c.timer
		w.onCallFinished = onCallFinished
		go w.run(c.ctx)
	}
	go d.committer.run(c.ctx)
	go d.watchAsScheduler()
	c.run(inbox)
	return nil
}

// watchAsScheduler watches the workers and the intake while this daemon is the
// scheduler.
func (d *Daemon) watchAsScheduler() {
	c := d.control
	for c.ctx.Err() == nil {
		if c.view.Load().scheduler != c.member {
			sleepContext(c.ctx, maxTickInterval)
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		// The watchers that every daemon runs already report whether the store
		// responds.
		ignore := func(time.Time, error) {}
		workers := &watcher{
			store:          c.ports.Store,
			timer:          c.timer,
			prefix:         c.ports.Decoder.WorkerPrefix(),
			onChange:       func(p tanagerport.Page, snapshot bool) { c.post(workerUpdate{page: p, snapshot: snapshot}) },
			onCallFinished: ignore,
		}
		intake := &watcher{
			store:      c.ports.Store,
			timer:      c.timer,
			prefix:     intakePrefix,
			watchDelay: intakeWatchDelay,
			onChange:   func(p tanagerport.Page, _ bool) { c.post(intakeUpdate{page: p}) },
			onCallFinished: func(seenUntil time.Time, _ error) {
				c.post(intakeRead{seenUntil: seenUntil})
			},
		}
		go workers.run(ctx)
		go intake.run(ctx)
		for c.ctx.Err() == nil && c.view.Load().scheduler == c.member {
			sleepContext(ctx, maxTickInterval)
		}
		cancel()
	}
}

// Resign makes the daemon not ready and hands over if it is the scheduler. It
// returns when the successor is appointed or the lease is released, or when
// either attempt has failed.
func (d *Daemon) Resign() {
	done := make(chan struct{})
	d.control.post(resignRequested{done: done})
	select {
	case <-done:
	case <-d.control.ctx.Done():
	}
}

// Close ends Run. Calls in flight are cancelled.
func (d *Daemon) Close() error {
	d.control.log.Info().Str("event", "daemon_stop").Send()
	d.cancel()
	return d.transport.Close()
}
