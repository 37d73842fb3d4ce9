package tanagercontrol

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerrequest"
	"tanagersail.example/tanagerd/tanagermessage"
)

// homeTables hold the requests whose ids this daemon issued.
type homeTables struct {
	registry *tanagerrequest.Registry[homeRequest]
	// live lists the requests without an answer.
	live map[string]*homeRequest
	// waiting maps waiters of this daemon to their requests.
	waiting map[uint64]*homeRequest
	// relayed maps waiters of this daemon to the home that will answer them.
	relayed map[uint64]relayedRequest
}

// relayedRequest is a request of a local caller whose home is another daemon.
type relayedRequest struct {
	home     string
	deadline time.Time
}

// waiter is somebody who waits for the answer of a request: a goroutine of this
// daemon, or one of a daemon that relayed the request here.
type waiter struct {
	member string
	number uint64
}

// homeRequest is the table row of one request.
type homeRequest struct {
	spec     tanagermessage.RequestSpec
	arrived  time.Time
	deadline time.Time
	waiters  []waiter
	owner    string
	try      int
	excluded []string
	// uncertain is set once a connection broke over the present try, so that it
	// may have reached its owner.
	uncertain bool
	// resent is set once the try was sent again to the same owner.
	resent bool
	// unreachableSince is since when the owner could not be reached.
	unreachableSince time.Time
	resendAt         time.Time
	answer           *tanagermessage.RequestAnswer
}

func newHomeTables(s Settings, start time.Time) *homeTables {
	return &homeTables{
		registry: tanagerrequest.NewRegistry[homeRequest](tanagerrequest.Settings{
			Home:   s.Self.ID,
			Window: s.RequestWindow,
			Keep:   s.RequestWindow + s.LongestRequest,
		}, start),
		live:    make(map[string]*homeRequest),
		waiting: make(map[uint64]*homeRequest),
		relayed: make(map[uint64]relayedRequest),
	}
}

// open returns the number of requests without an answer.
func (h *homeTables) open() int { return len(h.live) + len(h.relayed) }

// idsWanted issues request ids.
func (c *Control) idsWanted(_ string, m tanagermessage.IDsWanted, now time.Time) {
	ids := make([]string, m.Count)
	for i := range ids {
		ids[i] = c.homes.registry.Mint(now).String()
	}
	c.Effects.Answer(m.Waiter, tanagermessage.IDs{
		IDs: ids,
	})
}

// requestArrived takes a request of a local caller and sees that its home gets
// it.
func (c *Control) requestArrived(_ string, m tanagermessage.RequestArrived, now time.Time) {
	w := waiter{
		member: c.self,
		number: m.Waiter,
	}
	if m.Spec.ID == "" {
		m.Spec.ID = c.homes.registry.Mint(now).String()
		c.begin(m.Spec, w, now)
		return
	}
	id, failure := tanagerrequest.Parse(m.Spec.ID)
	if failure != nil {
		c.refuse(m.Spec.ID, w, failure)
		return
	}
	if id.Home == c.self {
		c.begin(m.Spec, w, now)
		return
	}
	if _, live := c.members[id.Home]; !live {
		c.refuse(m.Spec.ID, w, tanagerfailure.New(tanagerfailure.RequestIDLost, "the daemon that issued the id is gone"))
		return
	}
	c.homes.relayed[m.Waiter] = relayedRequest{
		home:     id.Home,
		deadline: now.Add(m.Spec.Timeout),
	}
	relay := tanagermessage.RequestRelay(m)
	if !c.send(id.Home, tanagermessage.TopicRequestRelay, relay) {
		c.relayUnsent(id.Home, relay, now)
	}
}

// relayUnsent answers a local caller whose id's home could not be reached. An
// earlier use of the id may have run, so the outcome is unknown.
func (c *Control) relayUnsent(_ string, m tanagermessage.RequestRelay, _ time.Time) {
	c.answerRelayed(m.Waiter, tanagermessage.RequestAnswer{
		ID:      m.Spec.ID,
		Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown, "the daemon that issued the id cannot be reached").After(suspectTime),
	})
}

func (c *Control) requestRelayed(from string, m tanagermessage.RequestRelay, now time.Time) {
	c.begin(m.Spec, waiter{
		member: from,
		number: m.Waiter,
	}, now)
}

// requestFinal answers a local caller by the word of the id's home.
func (c *Control) requestFinal(_ string, m tanagermessage.RequestFinal, _ time.Time) {
	c.answerRelayed(m.Waiter, m.Answer)
}

func (c *Control) answerRelayed(number uint64, answer tanagermessage.RequestAnswer) {
	if _, waiting := c.homes.relayed[number]; !waiting {
		return
	}
	delete(c.homes.relayed, number)
	c.Effects.Answer(number, answer)
}

// begin takes a request at its home. A repeat of an id waits for, or gets, the
// answer of its first use.
func (c *Control) begin(spec tanagermessage.RequestSpec, w waiter, now time.Time) {
	id, failure := tanagerrequest.Parse(spec.ID)
	if failure != nil {
		c.refuse(spec.ID, w, failure)
		return
	}
	row, fresh, failure := c.homes.registry.Begin(id, keyOf(spec), now)
	if failure != nil {
		c.refuse(spec.ID, w, failure)
		return
	}
	if row.answer != nil {
		c.answerWaiter(w, *row.answer)
		return
	}
	row.waiters = append(row.waiters, w)
	if w.member == c.self {
		c.homes.waiting[w.number] = row
	}
	if !fresh {
		return
	}
	row.spec = spec
	row.arrived = now
	row.deadline = now.Add(spec.Timeout)
	c.homes.live[spec.ID] = row
	c.place(row, now)
}

// keyOf returns what a repeat of a request id must share with its first use.
func keyOf(spec tanagermessage.RequestSpec) tanagerrequest.Key {
	digest := xxhash.New()
	// Writes to a hash cannot fail.
	_, _ = digest.WriteString(spec.Service + "\x00" + spec.Path + "\x00")
	_, _ = digest.Write(spec.Body)
	return tanagerrequest.Key{
		Branch: spec.Branch,
		Digest: digest.Sum64(),
	}
}

func (c *Control) refuse(id string, w waiter, failure *tanagerfailure.Failure) {
	c.answerWaiter(w, tanagermessage.RequestAnswer{
		ID:      id,
		Failure: failure,
	})
}

func (c *Control) answerWaiter(w waiter, answer tanagermessage.RequestAnswer) {
	if w.member == c.self {
		c.Effects.Answer(w.number, answer)
		return
	}
	c.send(w.member, tanagermessage.TopicRequestFinal, tanagermessage.RequestFinal{
		Waiter: w.number,
		Answer: answer,
	})
}

// finishHome ends a request and answers all who wait for it.
func (c *Control) finishHome(row *homeRequest, answer tanagermessage.RequestAnswer, now time.Time) {
	answer.ID = row.spec.ID
	row.answer = &answer
	row.spec.Body = nil
	delete(c.homes.live, row.spec.ID)
	for _, w := range row.waiters {
		delete(c.homes.waiting, w.number)
		c.answerWaiter(w, answer)
	}
	row.waiters = nil
	c.record(row, answer, now)
}
