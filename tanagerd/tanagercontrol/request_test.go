package tanagercontrol

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagershard"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerd/tanagermessage"
)

func request(id string, idempotent bool) tanagermessage.RequestSpec {
	return tanagermessage.RequestSpec{
		ID:         id,
		Branch:     "red",
		Service:    "ladder",
		Path:       "pairings",
		Class:      tanagerqueue.Normal,
		Idempotent: idempotent,
		Timeout:    5 * time.Second,
		Body:       []byte("{}"),
	}
}

// arrive lets a caller's request arrive at this daemon.
func (h *harness) arrive(waiter uint64, spec tanagermessage.RequestSpec) {
	h.say(self, tanagermessage.TopicRequestArrived, tanagermessage.RequestArrived{
		Waiter: waiter,
		Spec:   spec,
	})
}

func (h *harness) answer(waiter uint64) tanagermessage.RequestAnswer {
	got, ok := h.io.answers[waiter].(tanagermessage.RequestAnswer)
	h.Assert(ok, qt.IsTrue, qt.Commentf("waiter %d has no answer", waiter))
	return got
}

func (h *harness) outcome(waiter uint64) tanagerfailure.Outcome {
	got := h.answer(waiter)
	if got.Failure == nil {
		return tanagerfailure.Done
	}
	return got.Failure.Outcome
}

// counted tells the control that a target is idle but for some slots.
func (h *harness) counted(name string, busy int) {
	h.say(self, tanagermessage.TopicTargetStatus, tanagermessage.TargetStatus{
		Target: name,
		Known:  true,
		Busy:   busy,
	})
}

func (h *harness) ran(id, target string, end tanagermessage.RunEnd) {
	h.say(self, tanagermessage.TopicRequestRan, tanagermessage.RequestRan{
		ID:     id,
		Target: target,
		End:    end,
		Status: 200,
		Body:   []byte("done"),
		Ran:    10 * time.Millisecond,
	})
}

// ownTarget gives this daemon two of four shards and one target.
func (h *harness) ownTarget(slots int) string {
	h.owners("d1", "d1", "d2", "d3")
	name := h.named("t", 0)
	h.vms(target(name, slots))
	h.pass(200*time.Millisecond, true)
	h.Assert(h.io.asked, qt.Contains, name)
	h.counted(name, 0)
	return name
}

func TestRepeatedIDGetsTheFirstOutcomeAndRunsOnce(t *testing.T) {
	h := newHarness(t)
	name := h.ownTarget(8)
	h.say(self, tanagermessage.TopicIDsWanted, tanagermessage.IDsWanted{
		Waiter: 1,
		Count:  1,
	})
	id := h.io.answers[1].(tanagermessage.IDs).IDs[0]
	h.arrive(2, request(id, false))
	h.arrive(3, request(id, false))
	h.Assert(h.io.runs, qt.HasLen, 1)
	h.ran(id, name, tanagermessage.RunAnswered)
	h.arrive(4, request(id, false))
	h.Assert(h.io.runs, qt.HasLen, 1)
	for _, waiter := range []uint64{2, 3, 4} {
		h.Check(string(h.answer(waiter).Body), qt.Equals, "done")
	}
	other := request(id, false)
	other.Body = []byte("another body")
	h.arrive(5, other)
	h.Assert(h.answer(5).Failure.Code, qt.Equals, tanagerfailure.RequestIDReused)
}

func TestIDOfALostDaemonIsUnknownAndNeverRuns(t *testing.T) {
	h := newHarness(t)
	h.ownTarget(8)
	h.arrive(1, request("d9.a.1", false))
	h.Assert(h.answer(1).Failure.Code, qt.Equals, tanagerfailure.RequestIDLost)
	h.Assert(h.outcome(1), qt.Equals, tanagerfailure.Unknown)
	h.Assert(h.io.runs, qt.HasLen, 0)
}

func TestOwnerWithoutRightDispatchesNothing(t *testing.T) {
	h := newHarness(t)
	h.ownTarget(8)
	h.pass(4*time.Second, false)
	h.arrive(1, request("", true))
	h.Assert(h.io.runs, qt.HasLen, 0)
	h.Assert(h.outcome(1), qt.Equals, tanagerfailure.NotRun)
	h.Assert(h.answer(1).Failure.RetryAfter > 0, qt.IsTrue)
}

func TestPromisesOfAMajorityCarryTheOwnerThroughAnOutage(t *testing.T) {
	h := newHarness(t)
	h.ownTarget(8)
	h.pass(2*time.Second, false)
	asks := take[tanagermessage.PromiseAsk](h.C, h.out, tanagermessage.TopicPromiseAsk)
	h.Assert(len(asks) > 0, qt.IsTrue)
	for range 100 {
		h.pass(250*time.Millisecond, false)
		asks = take[tanagermessage.PromiseAsk](h.C, h.out, tanagermessage.TopicPromiseAsk)
		h.say("d2", tanagermessage.TopicPromiseGive, tanagermessage.PromiseGive{
			Number:  asks[len(asks)-1].Number,
			Roster:  asks[len(asks)-1].Roster.Revision,
			Granted: true,
		})
		h.Assert(h.control.mayAct(h.timer.Now()), qt.IsTrue)
	}
	// Once the promises stop, so does the right.
	h.pass(1200*time.Millisecond, false)
	h.Assert(h.control.mayAct(h.timer.Now()), qt.IsFalse)
}

func TestTakenOverTargetIsHeldBackUntilAMajorityConfirms(t *testing.T) {
	h := newHarness(t)
	h.owners("d2", "d2", "d2", "d2")
	name := h.named("t", 0)
	h.vms(target(name, 2))
	h.leaves("d2")
	h.shards, _ = h.shards.TakeOver([]string{"d1"}, []string{"d1"})
	h.showMap()
	h.arrive(1, request("", true))
	h.pass(300*time.Millisecond, true)
	// An idle target is no proof that the earlier owner sends nothing more.
	h.counted(name, 0)
	h.Assert(h.io.runs, qt.HasLen, 0)
	asks := take[tanagermessage.ConfirmAsk](h.C, h.out, tanagermessage.TopicConfirmAsk)
	h.Assert(asks[0].Owner, qt.Equals, "d2")
	// d3 has an outstanding promise to d2 of 400 ms.
	h.say("d3", tanagermessage.TopicConfirmGive, tanagermessage.ConfirmGive{
		Owner: "d2",
		Left:  400 * time.Millisecond,
	})
	h.pass(350*time.Millisecond, true)
	h.counted(name, 0)
	h.Assert(h.io.runs, qt.HasLen, 0)
	h.pass(200*time.Millisecond, true)
	// One slot still runs a request of d2's, so one of two is used.
	h.counted(name, 1)
	h.arrive(2, request("", true))
	h.Assert(h.io.runs, qt.HasLen, 1)
	h.Assert(h.control.shardMap.Unconfirmed(), qt.DeepEquals, []string{"d2"})
	h.pass(200*time.Millisecond, true)
	h.Assert(len(h.io.swaps) > 0, qt.IsTrue)
	h.Assert(h.io.swaps[len(h.io.swaps)-1].Unconfirmed(), qt.HasLen, 0)
}

func TestOperatorReleasesTargetsOfADaemonThatIsGone(t *testing.T) {
	h := newHarness(t)
	h.owners("d2", "d2", "d2", "d2")
	name := h.named("t", 0)
	h.vms(target(name, 2))
	declare := tanagerwire.Encode(tanagerconfig.Record{
		Intent: tanagerconfig.Intent{
			Kind: tanagerconfig.DeclareGone,
			Name: "d2",
		},
		At: h.timer.Now(),
	})
	leave := func() {
		h.leaves("d2")
		h.shards, _ = h.shards.TakeOver([]string{"d1"}, []string{"d1"})
		h.showMap()
	}
	leave()
	h.pass(5*time.Second, true)
	h.counted(name, 0)
	h.arrive(1, request("", true))
	h.Assert(h.io.runs, qt.HasLen, 0)
	h.configure(declare, declare)
	h.pass(500*time.Millisecond, true)
	h.counted(name, 0)
	h.arrive(2, request("", true))
	h.Assert(h.io.runs, qt.Not(qt.HasLen), 0)
	// The declaration of a daemon that is a member counts for nothing.
	h.joins("d2")
	h.Assert(h.control.declaredGone("d2"), qt.IsFalse)
}

func TestRequestOfADeadOwnerIsUnknownAndNotSentElsewhere(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		h := newHarness(t)
		h.owners("d2", "d3", "d3", "d3")
		h.vms(target(h.named("t", 0), 8))
		h.arrive(1, request("", idempotent))
		placed := take[tanagermessage.RequestPlace](h.C, h.out, tanagermessage.TopicRequestPlace)
		h.Assert(placed, qt.HasLen, 1)
		h.vms(target(h.named("u", 1), 8))
		h.say("d2", "peer.lost", struct{}{})
		h.pass(100*time.Millisecond, true)
		h.leaves("d2")
		h.Assert(h.outcome(1), qt.Equals, tanagerfailure.Unknown)
		for _, again := range take[tanagermessage.RequestPlace](h.C, h.out, tanagermessage.TopicRequestPlace) {
			h.Check(again.Try, qt.Equals, 1)
		}
	}
}

func TestRequestThatWasNotSentGoesToAnotherOwner(t *testing.T) {
	h := newHarness(t)
	h.owners("d2", "d3", "d3", "d3")
	h.vms(target(h.named("t", 0), 8), target(h.named("u", 1), 8))
	h.arrive(1, request("", false))
	first := h.out.messages[len(h.out.messages)-1]
	placed := take[tanagermessage.RequestPlace](h.C, h.out, tanagermessage.TopicRequestPlace)[0]
	h.unsent(first.to, tanagermessage.TopicRequestPlace, placed)
	second := h.out.messages[len(h.out.messages)-1]
	h.Assert(second.to, qt.Not(qt.Equals), first.to)
	// After a broken connection the same message tells nothing.
	h.say(second.to, "peer.lost", struct{}{})
	h.unsent(second.to, tanagermessage.TopicRequestPlace, take[tanagermessage.RequestPlace](h.C, h.out, tanagermessage.TopicRequestPlace)[0])
	_, answered := h.io.answers[1]
	h.Assert(answered, qt.IsFalse)
}

func TestUnansweredRunIsRepeatedOnlyOnceItsTargetIsIdle(t *testing.T) {
	h := newHarness(t)
	name := h.ownTarget(2)
	h.arrive(1, request("", true))
	h.arrive(2, request("", false))
	h.Assert(h.io.runs, qt.HasLen, 2)
	for _, run := range h.io.runs {
		h.ran(run.Call.ID, name, tanagermessage.RunUnanswered)
	}
	h.Assert(h.outcome(2), qt.Equals, tanagerfailure.Unknown)
	h.pass(200*time.Millisecond, true)
	h.counted(name, 1)
	h.Assert(h.io.runs, qt.HasLen, 2)
	h.pass(1500*time.Millisecond, true)
	h.counted(name, 0)
	h.Assert(h.io.runs, qt.HasLen, 3)
	h.Assert(h.io.runs[2].Call.ID, qt.Equals, h.io.runs[0].Call.ID)
	h.ran(h.io.runs[2].Call.ID, name, tanagermessage.RunUnreached)
	// It may have run the first time, so "not run" would be a guess.
	h.Assert(h.outcome(1), qt.Equals, tanagerfailure.Unknown)
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	h := newHarness(t)
	name := h.ownTarget(8)
	leaving := target(name, 8)
	leaving.State = "leaving"
	h.vms(leaving)
	h.arrive(1, request("", true))
	h.Assert(h.io.runs, qt.HasLen, 0)
}

func TestDrainAnswersEverythingFirst(t *testing.T) {
	h := newHarness(t)
	name := h.ownTarget(8)
	h.loadJournals()
	h.arrive(1, request("", false))
	h.say(self, tanagermessage.TopicDrain, struct{}{})
	h.pass(500*time.Millisecond, true)
	h.Assert(h.io.drained, qt.IsFalse)
	h.Assert(h.io.swaps, qt.HasLen, 1)
	h.Assert(h.io.swaps[0].Owned(self), qt.DeepEquals, []tanagershard.Shard{0})
	h.ran(h.io.runs[0].Call.ID, name, tanagermessage.RunAnswered)
	h.Assert(h.outcome(1), qt.Equals, tanagerfailure.Done)
}

func TestRemovedBranchIsRefused(t *testing.T) {
	h := newHarness(t)
	h.ownTarget(8)
	remove := tanagerwire.Encode(tanagerconfig.Record{
		Intent: tanagerconfig.Intent{
			Kind:   tanagerconfig.RemoveBranch,
			Branch: "red",
		},
		At: h.timer.Now(),
	})
	h.configure(remove, remove)
	h.arrive(1, request("", true))
	h.Assert(h.answer(1).Failure.Code, qt.Equals, tanagerfailure.UnknownBranch)
	h.Assert(h.io.runs, qt.HasLen, 0)
}

// TestSmallCellComparesAllOwners tells the loads of two owners and checks that
// requests go to the lighter one until what was sent has evened them out.
func TestSmallCellComparesAllOwners(t *testing.T) {
	h := newHarness(t)
	h.owners("d2", "d3", "d3", "d3")
	h.vms(target(h.named("t", 0), 8), target(h.named("u", 1), 8))
	for member, free := range map[string]int{
		"d2": 2,
		"d3": 6,
	} {
		h.say(member, tanagermessage.TopicGossip, tanagermessage.Gossip{
			Services: []tanagermessage.ServiceHint{
				{
					Service: "ladder",
					Slots:   8,
					Free:    free,
				},
			},
		})
	}
	sent := make(map[string]int)
	for i := range 8 {
		h.arrive(uint64(i+1), request("", true))
		sent[h.out.messages[len(h.out.messages)-1].to]++
	}
	h.Assert(sent, qt.DeepEquals, map[string]int{
		"d2": 2,
		"d3": 6,
	})
}

func TestLargeCellGossipsLittle(t *testing.T) {
	h := newHarness(t)
	h.ownTarget(8)
	for i := 4; i <= smallCell+1; i++ {
		h.joins(fmt.Sprintf("d%d", i))
	}
	h.pass(3*time.Second, true)
	take[tanagermessage.Gossip](h.C, h.out, tanagermessage.TopicGossip)
	const periods = 5
	h.pass(periods*largeCellInterval, true)
	told := len(take[tanagermessage.Gossip](h.C, h.out, tanagermessage.TopicGossip))
	h.Assert(told > 0, qt.IsTrue)
	h.Assert(told <= (periods+1)*gossipPeers, qt.IsTrue, qt.Commentf("%d messages", told))
}
