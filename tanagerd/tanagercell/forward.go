package tanagercell

import (
	"context"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// forwardCall sends a request to the scheduler and registers its reply channel.
type forwardCall struct {
	request forwardRequest
	reply   chan tanagerport.Reply
}

func (e forwardCall) apply(c *control) {
	c.lastCorrelationID++
	e.request.CorrelationID = c.lastCorrelationID
	if c.leader.holder.Member == "" || c.isLeader() ||
		!c.send(c.leader.holder.Member, topicForwardRequest, e.request) {
		e.reply <- tanagerport.ReplyUnavailable
		return
	}
	c.forwardReplies[c.lastCorrelationID] = e.reply
	delete(c.forwardReplies, c.lastCorrelationID-maxPendingRequests)
}

// serveForward stores what another daemon could not store. If this daemon's
// calls to the store fail too, it rejects the request at once.
func (c *control) serveForward(from string, request forwardRequest) {
	if !c.storeUp {
		c.send(from, topicForwardResponse, forwardResponse{
			CorrelationID: request.CorrelationID,
			Reply:         tanagerport.ReplyUnavailable,
		})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
		defer cancel()
		reply := tanagerport.ReplyOutcomeUnknown
		if request.Record != nil {
			reply = replyFor(c.frontend.committer.submit(ctx, *request.Record))
		} else {
			reply = c.frontend.cancelInStore(ctx, request.Cancel)
		}
		c.post(forwardServed{
			to: from,
			response: forwardResponse{
				CorrelationID: request.CorrelationID,
				Reply:         reply,
			},
		})
	}()
}

type forwardServed struct {
	to       string
	response forwardResponse
}

func (e forwardServed) apply(c *control) { c.send(e.to, topicForwardResponse, e.response) }

func (c *control) receiveForwardResponse(response forwardResponse) {
	if reply, pending := c.forwardReplies[response.CorrelationID]; pending {
		delete(c.forwardReplies, response.CorrelationID)
		reply <- response.Reply
	}
}

// forward sends a request to the scheduler and returns its reply, or
// ReplyOutcomeUnknown if none arrives within forwardTimeout.
func (f *Frontend) forward(ctx context.Context, request forwardRequest) tanagerport.Reply {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply := make(chan tanagerport.Reply, 1)
	f.control.post(forwardCall{
		request: request,
		reply:   reply,
	})
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return tanagerport.ReplyOutcomeUnknown
	}
}

// canForward reports whether another daemon is the scheduler and was heard
// recently.
func (f *Frontend) canForward(v *view) bool {
	return v.scheduler != "" && v.scheduler != f.control.member &&
		f.control.timer.Now().Sub(v.schedulerHeardAt) < maxSchedulerSilence
}

func replyFor(o submitOutcome) tanagerport.Reply {
	switch o {
	case outcomeAccepted:
		return tanagerport.ReplyAccepted
	case outcomeRejected:
		return tanagerport.ReplyUnavailable
	}
	return tanagerport.ReplyOutcomeUnknown
}

// submit stores a job, through the scheduler if this daemon cannot reach the
// store. A rejection by the scheduler does not override an unknown outcome of
// the first attempt.
func (f *Frontend) submit(ctx context.Context, record tanagerwork.Record) tanagerport.Reply {
	v := f.control.view.Load()
	local := tanagerport.ReplyUnavailable
	if v.storeUp {
		storeCtx, cancel := context.WithTimeout(ctx, storeSubmitTimeout)
		local = replyFor(f.committer.submit(storeCtx, record))
		cancel()
		if local == tanagerport.ReplyOutcomeUnknown {
			// Until a watch succeeds again, other submissions skip the local
			// attempt and are forwarded or rejected at once.
			f.control.post(storeCallFinished{err: tanagerport.OutcomeUnknown.New(
				"job %s: store did not respond within %v", record.ID, storeSubmitTimeout)})
		}
	}
	if local == tanagerport.ReplyAccepted || !f.canForward(v) {
		return local
	}
	forwarded := f.forward(ctx, forwardRequest{Record: &record})
	if forwarded == tanagerport.ReplyUnavailable {
		return local
	}
	return forwarded
}
