package tanagercell

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanager/tanagerwire"
)

const (
	self = "10.0.0.1:1/self"
	// testTimeout ends a test that would wait for ever.
	testTimeout = time.Minute
)

// silentStore answers nothing until its caller gives up.
type silentStore struct{}

func (silentStore) Get(ctx context.Context, _ string) (tanagerport.Item, error) {
	<-ctx.Done()
	return tanagerport.Item{}, tanagerport.Unanswered.New("get")
}

func (silentStore) List(ctx context.Context, _, _ string) (tanagerport.Page, error) {
	<-ctx.Done()
	return tanagerport.Page{}, tanagerport.Unanswered.New("list")
}

func (silentStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (tanagerport.Page, error) {
	<-ctx.Done()
	return tanagerport.Page{}, tanagerport.Unanswered.New("watch")
}

func (silentStore) Commit(ctx context.Context, _ tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	<-ctx.Done()
	return 0, nil, tanagerport.Unanswered.New("commit")
}

func (silentStore) Grant(ctx context.Context, _ time.Duration) (int64, error) {
	<-ctx.Done()
	return 0, tanagerport.Unanswered.New("grant")
}

func (silentStore) Renew(ctx context.Context, _ int64) error {
	<-ctx.Done()
	return tanagerport.Unanswered.New("renew")
}

func (silentStore) Release(ctx context.Context, _ int64) error {
	<-ctx.Done()
	return tanagerport.Unanswered.New("release")
}

type noDecoder struct{}

func (noDecoder) WorkerPrefix() string   { return "workers/" }
func (noDecoder) OperatorPrefix() string { return "operator/" }
func (noDecoder) Worker(i tanagerport.Item) (tanagerport.WorkerEntry, error) {
	return tanagerport.WorkerEntry{ID: i.Key[len("workers/"):]}, nil
}
func (noDecoder) Configuration(tanagerport.Item) (tanagerport.Configuration, bool, error) {
	return tanagerport.Configuration{}, false, nil
}

func (noDecoder) Wave(tanagerport.Item) (tanagerport.Wave, bool, error) {
	return tanagerport.Wave{}, false, nil
}
func (noDecoder) WaveStatus(int, bool) (string, []byte) { return "", nil }

// newControl returns a control without a store, whose goroutines end with the test.
func newControl(t *testing.T) *control { return newMember(t, self, silentStore{}) }

func newMember(t *testing.T, member string, store Store) *control {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	timer := tanagertimer.NewManual(time.Unix(1_700_000_000, 0))
	c := &control{
		settings: Settings{LeaderTTL: 2 * time.Second},
		ports: Ports{
			Store:   store,
			Decoder: noDecoder{},
		},
		timer: timer,
		log:   zerolog.Nop(),
		transport: tanagerpeer.New(tanagerpeer.Settings{
			Self:         member,
			Token:        "token",
			InboxLength:  8,
			QueueLength:  8,
			DialTimeout:  testTimeout,
			WriteTimeout: testTimeout,
		}, Directory{}),
		member: member,
		candidate: &candidate{
			store:  store,
			member: member,
		},
		random:    rand.New(rand.NewPCG(1, 1)),
		ctx:       ctx,
		events:    make(chan event, 64),
		fleet:     make(map[string]tanagerport.WorkerEntry),
		questions: make(map[uint64]chan stateTold),
		forwards:  make(map[uint64]chan tanagerport.Reply),
		resets:    make(map[string]time.Time),
		waves:     make(map[int]tanagerport.Wave),
	}
	t.Cleanup(func() { _ = c.transport.Close() })
	return c
}

func holderItem(member string, epoch uint64, revision int64) tanagerport.Item {
	return tanagerport.Item{
		Key: holderKey,
		Value: tanagerwire.Encode(holder{
			Member: member,
			Epoch:  epoch,
			Lease:  1,
		}),
		Revision: revision,
	}
}

func epochItem(epoch uint64, revision int64) tanagerport.Item {
	return tanagerport.Item{
		Key:      epochKey,
		Value:    tanagerwire.Encode(epochRecord{Epoch: epoch}),
		Revision: revision,
	}
}

// leads makes the control the scheduler of an epoch with empty tables.
func (c *control) leads(epoch uint64) {
	c.learnLead(epochItem(epoch, int64(10*epoch)))
	c.learnLead(holderItem(self, epoch, int64(10*epoch)))
	loaded{
		term:  c.term,
		found: &inheritance{},
	}.apply(c)
}

// A scheduler that learns of a higher epoch before it sees who was elected must
// end its term: it is not the one who was elected.
func TestHigherEpochEndsTheTerm(t *testing.T) {
	c := newControl(t)
	c.leads(1)
	q := qt.New(t)
	q.Assert(c.cell, qt.IsNotNil)
	c.learnLead(epochItem(2, 20))
	q.Assert(c.cell, qt.IsNil)
	q.Assert(c.leading(), qt.IsFalse)
	c.learnLead(holderItem("10.0.0.2:1/other", 2, 20))
	q.Assert(c.lead.holder.Member, qt.Equals, "10.0.0.2:1/other")
}

// A scheduler whose key lapsed and that was elected again, with nobody between,
// keeps its tables.
func TestReelectedSchedulerKeepsItsTables(t *testing.T) {
	c := newControl(t)
	c.leads(1)
	before := c.cell
	stood{won: elected{
		holder: holder{
			Member: self,
			Epoch:  2,
		},
		epochRevision:  20,
		holderRevision: 20,
	}}.apply(c)
	q := qt.New(t)
	q.Assert(c.cell, qt.Equals, before)
	q.Assert(c.cell.Epoch(), qt.Equals, uint64(2))
}

// A deletion that is older than the present holder's record vacates nothing.
func TestOldDeletionDoesNotVacate(t *testing.T) {
	c := newControl(t)
	leadRead{page: tanagerport.Page{
		Items: []tanagerport.Item{
			{
				Key:      holderKey,
				Revision: 19,
				Deleted:  true,
			},
			holderItem("10.0.0.2:1/other", 2, 20),
			epochItem(2, 20),
		},
		Revision: 30,
	}}.apply(c)
	qt.New(t).Assert(c.lead.holder.Member, qt.Equals, "10.0.0.2:1/other")
	leadRead{page: tanagerport.Page{
		Items: []tanagerport.Item{{
			Key:      holderKey,
			Revision: 31,
			Deleted:  true,
		}},
		Revision: 31,
	}}.apply(c)
	qt.New(t).Assert(c.lead.holder.Member, qt.Equals, "")
}

// An answer to a poll of an earlier term must not make a worker of the present
// one count as knowing the epoch.
func TestAnswersOfAnEarlierTermAreDropped(t *testing.T) {
	c := newControl(t)
	c.leads(1)
	old := c.term
	c.learnLead(epochItem(2, 20))
	c.leads(3)
	c.cell.Inherit(c.timer.Now(), []string{"w"})
	c.cell.SetWorkers(c.timer.Now(), []tanagerport.WorkerEntry{{ID: "w"}})
	pollAnswered{
		term:   old,
		order:  tanagerdispatch.PollOrder{Worker: tanagerport.WorkerRef{ID: "w"}},
		report: tanagerport.Report{Answer: tanagerport.Answer{Verdict: tanagerport.Accepted}},
	}.apply(c)
	qt.New(t).Assert(c.cell.Load().Inherited, qt.Equals, 1)
	pollAnswered{
		term:   c.term,
		order:  tanagerdispatch.PollOrder{Worker: tanagerport.WorkerRef{ID: "w"}},
		report: tanagerport.Report{Answer: tanagerport.Answer{Verdict: tanagerport.Accepted}},
	}.apply(c)
	qt.New(t).Assert(c.cell.Load().Inherited, qt.Equals, 0)
}

// The first step has none before it: a gap counted from the zero time filled the
// first load line of each daemon that had just started.
func TestGapsCountFromTheFirstStep(t *testing.T) {
	c := newControl(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	c.step(now)
	qt.Assert(t, c.longestGap, qt.Equals, time.Duration(0))
	c.step(now.Add(7 * time.Millisecond))
	qt.Assert(t, c.longestGap, qt.Equals, 7*time.Millisecond)
}

// A scheduler that left its part to a daemon on a narrow link had a successor that
// could not read the store.
func TestSuccessorIsHeavyThenNew(t *testing.T) {
	c := newControl(t)
	now := c.timer.Now()
	c.members = map[string]member{
		"light, new": {
			heard:   now,
			started: now,
			weight:  0.2,
		},
		"heavy, old": {
			heard:   now,
			started: now.Add(-time.Hour),
			weight:  0.8,
		},
		"heavy, new": {
			heard:   now,
			started: now.Add(-time.Minute),
			weight:  0.8,
		},
		"heavy, stopping": {
			heard:    now,
			started:  now,
			stopping: true,
			weight:   0.8,
		},
		"heavy, silent": {
			heard:   now.Add(-2 * memberTimeout),
			started: now,
			weight:  0.8,
		},
	}
	qt.Assert(t, c.successor(), qt.Equals, "heavy, new")
}

// In a large cell the hellos and hints of all daemons would take much of the
// scheduler's processor.
func TestManyDaemonsSayHelloLessOften(t *testing.T) {
	for members, want := range map[int]time.Duration{
		manyMembers:     helloInterval,
		manyMembers + 1: slowFactor * helloInterval,
	} {
		c := newControl(t)
		c.leads(1)
		for i := range members {
			c.hears("127.0.0.1:1/"+strconv.Itoa(i), 0.5, 0, 0)
		}
		c.tellHints(c.timer.Now())
		told := c.lastHints
		c.advance(helloInterval)
		c.tellHints(c.timer.Now())
		qt.Check(t, c.lastHints.After(told), qt.Equals, want == helloInterval)
		c.advance(helloInterval)
		c.tellHints(c.timer.Now())
		qt.Check(t, c.lastHints, qt.Equals, c.timer.Now())
	}
}

func TestDaemonsKeepTheAskedPause(t *testing.T) {
	c := newControl(t)
	c.learnLead(epochItem(1, 10))
	c.learnLead(holderItem("127.0.0.1:1/other", 1, 10))
	c.hintsReceived(hintsTold{
		Epoch: 1,
		Every: slowFactor * helloInterval,
	})
	c.follow(c.timer.Now())
	first := c.helloAt
	c.advance(helloInterval)
	c.follow(c.timer.Now())
	qt.Assert(t, c.helloAt, qt.Equals, first)
	c.advance(helloInterval)
	c.follow(c.timer.Now())
	qt.Assert(t, c.helloAt, qt.Equals, c.timer.Now())
}
