package tanagercell

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanageradmission"
	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanagerport"
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
