package tanagercell

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
)

// recordingWorkers records the starts and polls that it receives.
type recordingWorkers struct {
	Workers

	starts []tanagerport.Start
	polls  []tanagerport.Poll
}

func (w *recordingWorkers) Start(_ context.Context, _ tanagerport.WorkerRef,
	s tanagerport.Start) (tanagerport.Response, error) {
	w.starts = append(w.starts, s)
	return tanagerport.Response{}, nil
}

func (w *recordingWorkers) Poll(_ context.Context, _ tanagerport.WorkerRef,
	p tanagerport.Poll) (tanagerport.Report, error) {
	w.polls = append(w.polls, p)
	return tanagerport.Report{}, nil
}

// Guards against a process that is paused between a decision and its call, and then
// starts a task or acknowledges ends on what was known before the pause.
func TestPausedSchedulerSendsNoOldOrders(t *testing.T) {
	c := newTestControl(t)
	workers := &recordingWorkers{}
	c.ports.Workers = workers
	_, err := c.sendStart(tanagerdispatch.StartOrder{}, maxOrderDelay)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.sendStart(tanagerdispatch.StartOrder{}, maxOrderDelay+time.Millisecond)
	qt.Assert(t, errorx.IsOfType(err, tanagerport.NotSent), qt.IsTrue)
	qt.Assert(t, workers.starts, qt.HasLen, 1)
	order := tanagerdispatch.PollOrder{Poll: tanagerport.Poll{
		Acknowledged: 7,
		Deadline:     time.Hour,
	}}
	for _, age := range []time.Duration{maxOrderDelay, maxOrderDelay + time.Millisecond} {
		_, err = c.sendPoll(order, age)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, workers.polls, qt.DeepEquals, []tanagerport.Poll{order.Poll, {}})
}

// Guards against a response to a poll that lay unread in a paused process and counts as
// fresh.
func TestResponsesThatWaitedAreLate(t *testing.T) {
	sentAt := time.Unix(1_700_000_000, 0)
	const wait = time.Second
	for name, tc := range map[string]struct {
		read, applied time.Duration
		want          bool
	}{
		"prompt":                    {read: wait, applied: wait},
		"late in the network":       {read: wait + maxOrderDelay + time.Millisecond, applied: wait + maxOrderDelay + time.Millisecond, want: true},
		"queue of a slow process":   {read: wait, applied: wait + maxResponseDelay},
		"queue of a paused process": {read: wait, applied: wait + maxResponseDelay + time.Millisecond, want: true},
	} {
		e := pollCallFinished{
			order:  tanagerdispatch.PollOrder{Poll: tanagerport.Poll{Wait: wait}},
			sentAt: sentAt,
			readAt: sentAt.Add(tc.read),
		}
		qt.Check(t, e.late(sentAt.Add(tc.applied)), qt.Equals, tc.want, qt.Commentf("%s", name))
	}
}
