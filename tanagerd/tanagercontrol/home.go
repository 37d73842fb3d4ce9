package tanagercontrol

import (
	"slices"
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

// place sends a request to an owner of targets of its service. The request has
// certainly not run yet.
func (c *Control) place(row *homeRequest, now time.Time) {
	for row.try < maxTries {
		owner, ok := c.chooseOwner(row, now)
		if !ok {
			break
		}
		row.try++
		row.owner = owner
		row.uncertain = false
		row.resent = false
		row.unreachableSince = time.Time{}
		if c.sendPlace(row, now) {
			return
		}
		row.excluded = append(row.excluded, owner)
	}
	c.finishHome(row, tanagermessage.RequestAnswer{
		Failure: c.noOwner(row.spec.Service),
	}, now)
}

func (c *Control) noOwner(service string) *tanagerfailure.Failure {
	if _, known := c.fleet.routes[service]; !known && c.mapped() {
		return tanagerfailure.New(tanagerfailure.UnknownService, "no target offers the service "+service)
	}
	return tanagerfailure.New(tanagerfailure.NoOwner, "no daemon can serve "+service+" at present").After(c.jitter(c.settings.Queue.RetryFloor))
}

// jitter spreads a wait over one to two times its length.
func (c *Control) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.Random.Int64N(int64(d)+1))
}

func (c *Control) sendPlace(row *homeRequest, now time.Time) bool {
	spec := row.spec
	spec.Timeout = row.deadline.Sub(now)
	return c.send(row.owner, tanagermessage.TopicRequestPlace, tanagermessage.RequestPlace{
		Spec: spec,
		Try:  row.try,
	})
}

// placeUnsent takes back a request that certainly did not reach its owner.
func (c *Control) placeUnsent(owner string, m tanagermessage.RequestPlace, now time.Time) {
	row := c.homes.live[m.Spec.ID]
	if row == nil || row.owner != owner || row.try != m.Try || row.uncertain {
		return
	}
	row.excluded = append(row.excluded, owner)
	c.place(row, now)
}

// requestAnswered takes an owner's answer to a try.
func (c *Control) requestAnswered(from string, m tanagermessage.RequestAnswer, now time.Time) {
	c.hinted(from, m.Hint)
	row := c.homes.live[m.ID]
	if row == nil || row.owner != from || row.try != m.Try {
		return
	}
	if c.mayTryAgain(row, m, now) {
		row.excluded = append(row.excluded, from)
		c.place(row, now)
		return
	}
	c.finishHome(row, m, now)
}

// mayTryAgain reports whether a request that certainly did not run may be sent
// to another owner that could do better.
func (c *Control) mayTryAgain(row *homeRequest, m tanagermessage.RequestAnswer, now time.Time) bool {
	if m.Failure == nil || row.try >= maxTries || !now.Before(row.deadline) {
		return false
	}
	switch m.Failure.Code {
	case tanagerfailure.NoOwner, tanagerfailure.NoTarget:
		return true
	case tanagerfailure.QueueFull, tanagerfailure.DeadlineUnreachable:
		return row.try == 1 && len(c.fleet.routes[row.spec.Service]) > 1
	}
	return false
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

// ownerUnreachable deals with the requests at an owner whose connection broke.
func (c *Control) ownerUnreachable(owner string, now time.Time) {
	for _, row := range c.homes.live {
		if row.owner == owner && row.unreachableSince.IsZero() {
			row.uncertain = true
			row.unreachableSince = now
			row.resendAt = now
		}
	}
	for number, r := range c.homes.relayed {
		if r.home == owner {
			c.answerRelayed(number, unknownAnswer("the connection to the daemon that issued the id broke"))
		}
	}
}

// ownerGone deals with the requests at an owner whose lease has lapsed.
func (c *Control) ownerGone(owner string, now time.Time) {
	c.ownerUnreachable(owner, now)
	for _, row := range c.homes.live {
		if row.owner == owner {
			c.giveUpOwner(row, now)
		}
	}
}

func unknownAnswer(message string) tanagermessage.RequestAnswer {
	return tanagermessage.RequestAnswer{
		Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown, message),
	}
}

// giveUpOwner ends the wait for an owner that cannot be reached. The request may
// still run at a target, so even an idempotent one is not sent elsewhere: it
// would run in two places at once.
func (c *Control) giveUpOwner(row *homeRequest, now time.Time) {
	answer := unknownAnswer("the daemon that ran the request cannot be reached")
	answer.Failure = answer.Failure.After(c.jitter(c.settings.Right.TTL))
	c.finishHome(row, answer, now)
}

// ownerReached notes a sign of life of an owner to which requests were sent
// again after a broken connection: it knows them, so their answers will come.
func (c *Control) ownerReached(owner string) {
	for _, row := range c.homes.live {
		if row.owner == owner && row.resent {
			row.unreachableSince = time.Time{}
		}
	}
}

// sweepHomes resends requests to owners that were unreachable and ends those
// whose time is up.
func (c *Control) sweepHomes(now time.Time) {
	for _, row := range c.homes.live {
		switch {
		case !now.Before(row.deadline.Add(answerSlack)):
			c.expireHome(row, now)
		case row.unreachableSince.IsZero():
		case now.Sub(row.unreachableSince) > unreachableLimit:
			c.giveUpOwner(row, now)
		case !now.Before(row.resendAt):
			row.resendAt = now.Add(resendInterval)
			row.resent = c.sendPlace(row, now)
		}
	}
	for number, r := range c.homes.relayed {
		if !now.Before(r.deadline.Add(2 * answerSlack)) {
			c.answerRelayed(number, unknownAnswer("the daemon that issued the id did not answer in time"))
		}
	}
	c.homes.registry.Expire(now, func(r *homeRequest) bool { return r.answer != nil })
}

// answerSlack is the time that an owner's answer may take to its home after the
// deadline.
const answerSlack = 100 * time.Millisecond

// expireHome ends a request whose owner did not answer in time.
func (c *Control) expireHome(row *homeRequest, now time.Time) {
	c.send(row.owner, tanagermessage.TopicRequestCancel, tanagermessage.RequestCancel{
		ID: row.spec.ID,
	})
	c.finishHome(row, unknownAnswer("no answer arrived before the deadline"), now)
}

// requestGone tells an owner that the caller went away, if nobody else waits
// for the same id.
func (c *Control) requestGone(_ string, m tanagermessage.RequestGone, _ time.Time) {
	delete(c.homes.relayed, m.Waiter)
	row := c.homes.waiting[m.Waiter]
	if row == nil {
		return
	}
	delete(c.homes.waiting, m.Waiter)
	row.waiters = slices.DeleteFunc(row.waiters, func(w waiter) bool {
		return w.member == c.self && w.number == m.Waiter
	})
	if len(row.waiters) == 0 {
		c.send(row.owner, tanagermessage.TopicRequestCancel, tanagermessage.RequestCancel{
			ID: row.spec.ID,
		})
	}
}

// chooseOwner picks the better of two random owners by their last hints
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
func (c *Control) chooseOwner(row *homeRequest, now time.Time) (string, bool) {
	var open []string
	for _, owner := range c.fleet.routes[row.spec.Service] {
		if !slices.Contains(row.excluded, owner) && !c.suspected(owner, now) {
			open = append(open, owner)
		}
	}
	if len(open) == 0 {
		return "", false
	}
	first := open[c.Random.IntN(len(open))]
	second := open[c.Random.IntN(len(open))]
	chosen := first
	if c.load(second, row.spec.Service) < c.load(first, row.spec.Service) {
		chosen = second
	}
	c.countSent(chosen, row.spec.Service)
	return chosen, true
}

// load rates an owner's load for a service; less is better.
func (c *Control) load(owner, service string) float64 {
	h := c.hints[owner].services[service]
	if h.slots == 0 {
		return 0
	}
	return float64(h.queued-h.free) / float64(h.slots)
}

// countSent corrects the last hint by what was sent since.
func (c *Control) countSent(owner, service string) {
	services := c.hints[owner].services
	if h, ok := services[service]; ok {
		h.free--
		services[service] = h
	}
}
