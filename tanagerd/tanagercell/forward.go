package tanagercell

import (
	"context"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// forward asks the scheduler to store something for this daemon.
type forward struct {
	forwarded forwarded
	reply     chan tanagerport.Reply
}

func (e forward) apply(c *control) {
	c.asked++
	e.forwarded.Question = c.asked
	if c.lead.holder.Member == "" || c.leading() || !c.send(c.lead.holder.Member, topicForwarded, e.forwarded) {
		e.reply <- tanagerport.ReplyUnavailable
		return
	}
	c.forwards[c.asked] = e.reply
	delete(c.forwards, c.asked-oldQuestion)
}

// serveForwarded stores what another daemon could not, and refuses it at once if
// this one does not reach the store either.
func (c *control) serveForwarded(from string, f forwarded) {
	if !c.storeUp {
		c.send(from, topicForwardTold, forwardTold{
			Question: f.Question,
			Reply:    tanagerport.ReplyUnavailable,
		})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, forwardTimeout)
		defer cancel()
		reply := tanagerport.ReplyUnsure
		if f.Record != nil {
			reply = replyOf(c.desk.committer.submit(ctx, *f.Record))
		} else {
			reply = c.desk.cancelHere(ctx, f.Cancel)
		}
		c.post(forwardDone{
			to: from,
			told: forwardTold{
				Question: f.Question,
				Reply:    reply,
			},
		})
	}()
}

type forwardDone struct {
	to   string
	told forwardTold
}

func (e forwardDone) apply(c *control) { c.send(e.to, topicForwardTold, e.told) }

func (c *control) answerForwarded(t forwardTold) {
	if reply, waits := c.forwards[t.Question]; waits {
		delete(c.forwards, t.Question)
		reply <- t.Reply
	}
}

// forward returns what the scheduler made of something. Without an answer it is
// ReplyUnsure.
func (d *Desk) forward(ctx context.Context, f forwarded) tanagerport.Reply {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply := make(chan tanagerport.Reply, 1)
	d.control.post(forward{
		forwarded: f,
		reply:     reply,
	})
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return tanagerport.ReplyUnsure
	}
}

// mayForward reports whether the scheduler was heard of lately.
func (d *Desk) mayForward(v *view) bool {
	return v.scheduler != "" && v.scheduler != d.control.member &&
		d.control.timer.Now().Sub(v.hintsAt) < forwardHint
}

func replyOf(o outcome) tanagerport.Reply {
	switch o {
	case accepted:
		return tanagerport.ReplyAccepted
	case refused:
		return tanagerport.ReplyUnavailable
	}
	return tanagerport.ReplyUnsure
}

// submit stores a job, by way of the scheduler if this daemon does not reach the
// store. A refusal counts only if no earlier try is open.
func (d *Desk) submit(ctx context.Context, record tanagerwork.Record) tanagerport.Reply {
	v := d.control.view.Load()
	first := tanagerport.ReplyUnavailable
	if v.storeUp {
		here, cancel := context.WithTimeout(ctx, submitTimeout)
		first = replyOf(d.committer.submit(here, record))
		cancel()
		if first == tanagerport.ReplyUnsure {
			// Until a watch succeeds again, others are refused or forwarded at once.
			d.control.post(storeReached{err: tanagerport.Unanswered.New("job %s: not stored in %v", record.ID, submitTimeout)})
		}
	}
	if first == tanagerport.ReplyAccepted || !d.mayForward(v) {
		return first
	}
	second := d.forward(ctx, forwarded{Record: &record})
	if second == tanagerport.ReplyUnavailable {
		return first
	}
	return second
}
