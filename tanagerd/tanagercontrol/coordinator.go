package tanagercontrol

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerrequest"
	"tanagersail.example/tanagerd/tanagermessage"
)

// coordinatorTables hold the requests that this daemon coordinates: it issued
// their IDs, places them with an owner of targets and responds with their
// results.
type coordinatorTables struct {
	registry *tanagerrequest.Registry[coordinatedRequest]
	// pending are the requests without a result, by request ID.
	pending map[string]*coordinatedRequest
	// byWaiter maps local waiters to the requests that they wait for.
	byWaiter map[uint64]*coordinatedRequest
	// relayed maps local waiters to requests that another daemon coordinates.
	relayed map[uint64]relayedRequest
}

// relayedRequest is a request of a local caller that another daemon
// coordinates.
type relayedRequest struct {
	coordinator string
	deadline    time.Time
}

// waiter identifies a goroutine that waits for a response, on this daemon or on
// the daemon that sent the request or call here.
type waiter struct {
	member string
	id     uint64
}

// coordinatedRequest is the state of one request at its coordinator.
type coordinatedRequest struct {
	spec      tanagermessage.RequestSpec
	arrivedAt time.Time
	deadline  time.Time
	waiters   []waiter
	owner     string
	attempt   int
	// excluded are the owners that are not tried again.
	excluded []string
	// deliveryUncertain is set once the connection broke during the current
	// attempt, so that the request may have reached the owner.
	deliveryUncertain bool
	// resent is set once the attempt was sent again to the same owner.
	resent bool
	// unreachableSince is the time since which the owner cannot be reached, or
	// zero.
	unreachableSince time.Time
	resendAt         time.Time
	result           *tanagermessage.RequestResult
}

func newCoordinatorTables(s Settings, start time.Time) *coordinatorTables {
	return &coordinatorTables{
		registry: tanagerrequest.NewRegistry[coordinatedRequest](tanagerrequest.Settings{
			Coordinator: s.Self.ID,
			Window:      s.RequestIDWindow,
			Retention:   s.RequestIDWindow + s.MaxRequestTimeout,
		}, start),
		pending:  make(map[string]*coordinatedRequest),
		byWaiter: make(map[uint64]*coordinatedRequest),
		relayed:  make(map[uint64]relayedRequest),
	}
}

// pendingCount returns the number of requests without a result.
func (t *coordinatorTables) pendingCount() int { return len(t.pending) + len(t.relayed) }

func (c *Control) handleIDsRequested(_ string, m tanagermessage.IDsRequested, now time.Time) {
	ids := make([]string, m.Count)
	for i := range ids {
		ids[i] = c.coordinated.registry.Issue(now).String()
	}
	c.Effects.Respond(m.Waiter, tanagermessage.IDs{
		IDs: ids,
	})
}

// handleRequestArrived accepts a request of a local caller, or relays it to its
// coordinator.
func (c *Control) handleRequestArrived(_ string, m tanagermessage.RequestArrived, now time.Time) {
	w := waiter{
		member: c.self,
		id:     m.Waiter,
	}
	if m.Spec.ID == "" {
		m.Spec.ID = c.coordinated.registry.Issue(now).String()
		c.beginRequest(m.Spec, w, now)
		return
	}
	id, failure := tanagerrequest.Parse(m.Spec.ID)
	if failure != nil {
		c.rejectRequest(m.Spec.ID, w, failure)
		return
	}
	if id.Coordinator == c.self {
		c.beginRequest(m.Spec, w, now)
		return
	}
	if _, isMember := c.members[id.Coordinator]; !isMember {
		c.rejectRequest(m.Spec.ID, w, tanagerfailure.New(tanagerfailure.RequestIDLost,
			"the daemon that issued the id is gone"))
		return
	}
	c.coordinated.relayed[m.Waiter] = relayedRequest{
		coordinator: id.Coordinator,
		deadline:    now.Add(m.Spec.Timeout),
	}
	relay := tanagermessage.RelayRequest(m)
	if !c.send(id.Coordinator, tanagermessage.TopicRelayRequest, relay) {
		c.handleUnsentRelayRequest(id.Coordinator, relay, now)
	}
}

// handleUnsentRelayRequest responds to a local caller whose request could not
// be relayed to its coordinator. An earlier use of the ID may have run, so the
// outcome is unknown.
func (c *Control) handleUnsentRelayRequest(_ string, m tanagermessage.RelayRequest, _ time.Time) {
	c.respondToRelayed(m.Waiter, tanagermessage.RequestResult{
		ID: m.Spec.ID,
		Failure: tanagerfailure.New(tanagerfailure.OutcomeUnknown,
			"the daemon that issued the id cannot be reached").WithRetryAfter(suspectDuration),
	})
}

func (c *Control) handleRelayRequest(from string, m tanagermessage.RelayRequest, now time.Time) {
	c.beginRequest(m.Spec, waiter{
		member: from,
		id:     m.Waiter,
	}, now)
}

// handleRelayResponse passes the coordinator's response to a local caller.
func (c *Control) handleRelayResponse(_ string, m tanagermessage.RelayResponse, _ time.Time) {
	c.respondToRelayed(m.Waiter, m.Result)
}

func (c *Control) respondToRelayed(waiterID uint64, result tanagermessage.RequestResult) {
	if _, waiting := c.coordinated.relayed[waiterID]; !waiting {
		return
	}
	delete(c.coordinated.relayed, waiterID)
	c.Effects.Respond(waiterID, result)
}

// beginRequest accepts a request as its coordinator. A repeated ID receives the
// result of its first use, or waits for it.
func (c *Control) beginRequest(spec tanagermessage.RequestSpec, w waiter, now time.Time) {
	id, failure := tanagerrequest.Parse(spec.ID)
	if failure != nil {
		c.rejectRequest(spec.ID, w, failure)
		return
	}
	row, first, failure := c.coordinated.registry.Begin(id, requestKey(spec), now)
	if failure != nil {
		c.rejectRequest(spec.ID, w, failure)
		return
	}
	if row.result != nil {
		c.respondToWaiter(w, *row.result)
		return
	}
	row.waiters = append(row.waiters, w)
	if w.member == c.self {
		c.coordinated.byWaiter[w.id] = row
	}
	if !first {
		return
	}
	row.spec = spec
	row.arrivedAt = now
	row.deadline = now.Add(spec.Timeout)
	c.coordinated.pending[spec.ID] = row
	c.placeRequest(row, now)
}

// requestKey returns the properties that a repeated request ID must share with
// its first use.
func requestKey(spec tanagermessage.RequestSpec) tanagerrequest.Key {
	digest := xxhash.New()
	// Writes to a hash cannot fail.
	_, _ = digest.WriteString(spec.Service + "\x00" + spec.Path + "\x00")
	_, _ = digest.Write(spec.Body)
	return tanagerrequest.Key{
		Branch: spec.Branch,
		Digest: digest.Sum64(),
	}
}

func (c *Control) rejectRequest(id string, w waiter, failure *tanagerfailure.Failure) {
	c.respondToWaiter(w, tanagermessage.RequestResult{
		ID:      id,
		Failure: failure,
	})
}

func (c *Control) respondToWaiter(w waiter, result tanagermessage.RequestResult) {
	if w.member == c.self {
		c.Effects.Respond(w.id, result)
		return
	}
	c.send(w.member, tanagermessage.TopicRelayResponse, tanagermessage.RelayResponse{
		Waiter: w.id,
		Result: result,
	})
}

// finishRequest records the result of a request and sends it to all waiters.
func (c *Control) finishRequest(row *coordinatedRequest, result tanagermessage.RequestResult, now time.Time) {
	result.ID = row.spec.ID
	row.result = &result
	row.spec.Body = nil
	delete(c.coordinated.pending, row.spec.ID)
	for _, w := range row.waiters {
		if w.member == c.self {
			delete(c.coordinated.byWaiter, w.id)
		}
		c.respondToWaiter(w, result)
	}
	row.waiters = nil
	c.recordRequest(row, result, now)
}
