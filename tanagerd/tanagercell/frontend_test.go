package tanagercell

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanageradmission"
	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// discardMetrics implements Metrics.
type discardMetrics struct{}

func (discardMetrics) CountOutcome(context.Context, string, string) {}

func (discardMetrics) ObserveForecast(context.Context, string, time.Duration, time.Duration) {}

func (discardMetrics) ObserveOrder(context.Context, string, time.Duration) {}

func (discardMetrics) ObserveCall(context.Context, string, string, time.Duration) {}

func (discardMetrics) CountMessage(context.Context, string, int) {}

// newTestFrontend returns a frontend whose scheduler has one job. Its queue q is
// closed, and its store is not reached.
func newTestFrontend(t *testing.T, accepted tanagerwork.JobID) *Frontend {
	c := newTestControl(t)
	c.hints = map[string]tanagerdispatch.AdmissionHint{"q": {
		Others: tanageradmission.Decision{
			Closed:     true,
			RetryAfter: time.Second,
		},
	}}
	c.hintsReceivedAt = c.timer.Now()
	c.publishView()
	go func() {
		for {
			select {
			case e := <-c.events:
				if call, ok := e.(stateCall); ok {
					call.reply <- stateResponse{Known: call.request.ID == accepted}
				}
			case <-c.ctx.Done():
				return
			}
		}
	}()
	return &Frontend{
		control:   c,
		committer: newCommitter(unresponsiveStore{}),
	}
}

// A caller whose first response was lost submits its job again. If the job was
// accepted, a refusal would say that it never runs.
func TestAcceptedJobIsNeverRejected(t *testing.T) {
	const accepted, other = "0000000000000001", "0000000000000002"
	for name, tc := range map[string]struct {
		queue string
		id    tanagerwork.JobID
		want  tanagerport.Reply
	}{
		"closed queue, accepted before":  {queue: "q", id: accepted, want: tanagerport.ReplyAccepted},
		"closed queue, first submission": {queue: "q", id: other, want: tanagerport.ReplyOverloaded},
		"store away, accepted before":    {queue: "open", id: accepted, want: tanagerport.ReplyAccepted},
		"store away, first submission":   {queue: "open", id: other, want: tanagerport.ReplyUnavailable},
	} {
		f := newTestFrontend(t, accepted)
		result := f.Submit(context.Background(), tanagerport.Submission{
			Queue: tanagerport.Queue{Name: tc.queue},
			ID:    tc.id,
		})
		qt.Check(t, result.Reply, qt.Equals, tc.want, qt.Commentf("%s", name))
	}
}

// recordingStore records the transactions and does not respond to them.
type recordingStore struct {
	unresponsiveStore
	commits chan tanagerport.Transaction
}

func (s recordingStore) Commit(ctx context.Context, t tanagerport.Transaction) (int64, []tanagerport.Item, error) {
	select {
	case s.commits <- t:
	default:
	}
	return s.unresponsiveStore.Commit(ctx, t)
}

// The policy of a queue was known only to schedulers that had read a configuration
// with that queue.
func TestPolicyIsStoredWithJob(t *testing.T) {
	c := qt.New(t)
	f := newTestFrontend(t, "")
	store := recordingStore{commits: make(chan tanagerport.Transaction, 1)}
	f.committer = newCommitter(store)
	f.committer.currentEpoch = func() (uint64, int64) { return 1, 1 }
	f.committer.onCommitError = func(int, error) {}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.committer.run(ctx)
	f.control.view.Store(&view{
		configuration: &tanagerport.Configuration{Version: 7},
		storeUp:       true,
	})
	submitted := make(chan tanagerport.Result, 1)
	go func() {
		submitted <- f.Submit(ctx, tanagerport.Submission{
			Queue: tanagerport.Queue{
				Name:        "q",
				MaxAttempts: 4,
				Advice:      &tanagerport.AdvicePolicy{TicketTTL: time.Second},
			},
			ID: "0000000000000001",
		})
	}()
	transaction := <-store.commits
	cancel()
	<-submitted
	c.Assert(transaction.Writes, qt.HasLen, 1)
	var record tanagerwork.Record
	c.Assert(tanagerwire.Decode(transaction.Writes[0].Value, &record), qt.IsNil)
	c.Assert(record.Policy, qt.IsNotNil)
	c.Check(record.Policy.Version, qt.Equals, int64(7))
	c.Check(record.Policy.MaxAttempts, qt.Equals, 4)
	c.Check(record.Policy.Advice.TicketTTL, qt.Equals, time.Second)
}

// Guards against a false refusal for want of room, as does TestAcceptedJobIsNeverRejected.
func TestAcceptedJobIsNeverRefused(t *testing.T) {
	const accepted, other = "0000000000000001", "0000000000000002"
	f := newTestFrontend(t, accepted)
	qt.Check(t, f.Refuse(context.Background(), accepted).Reply, qt.Equals, tanagerport.ReplyAccepted)
	refused := f.Refuse(context.Background(), other)
	qt.Check(t, refused.Reply, qt.Equals, tanagerport.ReplyUnavailable)
	qt.Check(t, refused.RetryAfter > 0, qt.IsTrue)
}

// Guards against log lines as long as the paths of invalid requests, many of which
// wait in memory if the output is slow.
func TestLoggedPathIsShort(t *testing.T) {
	var out bytes.Buffer
	f := newTestFrontend(t, "0000000000000001")
	f.control.log = zerolog.New(&out)
	f.Rejected("GET", strings.Repeat("x", 1<<14), 400, tanagerport.Malformed.New("test"))
	qt.Check(t, out.String(), qt.Contains, strings.Repeat("x", maxLoggedPath))
	qt.Check(t, out.Len() < 4*maxLoggedPath, qt.IsTrue, qt.Commentf("%d bytes", out.Len()))
}

// Guards against large jobs that are accepted without limit and end the scheduler: a
// job above LargeJobBytes is stored only if the scheduler keeps room for it, or, while
// none does, within the daemon's share. The store is not reached here.
func TestLargeJobNeedsRoom(t *testing.T) {
	c := qt.New(t)
	f := newTestFrontend(t, "")
	large := tanagerport.Submission{
		Queue: tanagerport.Queue{Name: "open"},
		ID:    "0000000000000001",
		Spec: tanagerwork.Spec{Steps: []tanagerwork.Step{{
			TaskCount: 1,
			Image:     strings.Repeat("x", tanagerdispatch.LargeJobBytes),
		}}},
	}
	f.control.settings.Dispatch.MaxLargeJobBytes = 2 * ownRoomShare * large.Spec.Size()
	reply := func(s tanagerport.Submission) tanagerport.Reply { return f.Submit(context.Background(), s).Reply }
	for range 2 {
		c.Check(reply(large), qt.Equals, tanagerport.ReplyUnavailable)
	}
	c.Check(reply(large), qt.Equals, tanagerport.ReplyOverloaded)
	small := large
	small.Spec = tanagerwork.Spec{Steps: []tanagerwork.Step{{TaskCount: 1}}}
	c.Check(reply(small), qt.Equals, tanagerport.ReplyUnavailable)
	f.returnOwnRoom()
	c.Check(reply(large), qt.Equals, tanagerport.ReplyUnavailable)
}

// A scheduler keeps room for one job of any size, and a daemon that is not the
// scheduler says nothing of room.
func TestOnlySchedulerHasRoom(t *testing.T) {
	c := qt.New(t)
	member := newTestControl(t)
	request := stateRequest{
		ID:    "0000000000000001",
		Bytes: 1 << 20,
	}
	c.Check(member.jobState(request), qt.Equals, stateResponse{})
	member.becomeScheduler(1)
	member.loading = false
	c.Check(member.jobState(request), qt.Equals, stateResponse{HasRoom: true})
	request.ID = "0000000000000002"
	c.Check(member.jobState(request), qt.Equals, stateResponse{NoRoom: true})
}
