package tanagercontrol

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanagerd/tanagermessage"
)

// registerHandlers registers the periodic stages and returns the message
// handlers by topic.
func (c *Control) registerHandlers() map[string]func(*message.Message, time.Time) {
	c.schedule.every(promiseInterval, c.requestPromises)
	c.schedule.every(shardInterval, c.reconcileShards)
	c.schedule.every(confirmationInterval, c.requestConfirmations)
	c.schedule.every(rulesInterval, c.applyRules)
	c.schedule.every(reconcileInterval, c.resendAndExpireRequests)
	c.schedule.every(reconcileInterval, c.expireOwnedRequests)
	c.schedule.every(probeInterval, c.probeTargets)
	c.schedule.every(reconcileInterval, c.reconcileWorkers)
	c.schedule.every(recoveryInterval, c.requestRecovery)
	c.schedule.every(reconcileInterval, c.expireJobWaits)
	c.schedule.every(gossipInterval, c.sendGossip)
	c.schedule.every(reconcileInterval, c.answerPlans)
	return map[string]func(*message.Message, time.Time){
		tanagerpeer.ConnectionLostTopic: func(m *message.Message, now time.Time) {
			c.peerLost(m.Metadata.Get(tanagerpeer.FromKey), now)
		},
		tanagermessage.TopicLeaseRenewed:    typedHandler(c, c.leaseRenewed),
		tanagermessage.TopicLeaseLost:       typedHandler(c, c.leaseLost),
		tanagermessage.TopicStoreChanged:    typedHandler(c, c.storeChanged),
		tanagermessage.TopicVMListChanged:   typedHandler(c, c.vmsChanged),
		tanagermessage.TopicShardMapWritten: typedHandler(c, c.mapSwapped),
		tanagermessage.TopicGossip:          typedHandler(c, c.gossipReceived),
		tanagermessage.TopicStoreEntries:    typedHandler(c, c.entriesReceived),
		tanagermessage.TopicPromiseRequest:  typedHandler(c, c.promiseRequested),
		tanagermessage.TopicPromiseResponse: typedHandler(c, c.promiseReceived),
		tanagermessage.TopicConfirmRequest:  typedHandler(c, c.confirmationRequested),
		tanagermessage.TopicConfirmResponse: typedHandler(c, c.confirmationReceived),
		tanagermessage.TopicDrain:           typedHandler(c, c.drainRequested),
		tanagermessage.TopicStatusRequested: typedHandler(c, c.statusRequested),
		tanagermessage.TopicPlanRequested:   typedHandler(c, c.planRequested),
		tanagermessage.TopicConfigRequested: typedHandler(c, c.configRequested),
		tanagermessage.TopicUsageRequest:    typedHandler(c, c.usageRequested),
		tanagermessage.TopicUsageResponse:   typedHandler(c, c.usageReceived),

		tanagermessage.TopicRequestArrived:     typedHandler(c, c.requestArrived),
		tanagermessage.TopicCallerDisconnected: typedHandler(c, c.callerDisconnected),
		tanagermessage.TopicIDsRequested:       typedHandler(c, c.idsRequested),
		tanagermessage.TopicRelayRequest:       typedHandlerWithUnsent(c, c.requestRelayed, c.relayUnsent),
		tanagermessage.TopicRelayResponse:      typedHandler(c, c.finalAnswerReceived),
		tanagermessage.TopicRequestResult:      typedHandler(c, c.requestAnswered),
		tanagermessage.TopicRequestDispatch:    typedHandlerWithUnsent(c, c.requestPlaced, c.placementUnsent),
		tanagermessage.TopicRequestCancel:      typedHandler(c, c.requestCancelled),
		tanagermessage.TopicRunFinished:        typedHandler(c, c.runFinished),
		tanagermessage.TopicTargetProbed:       typedHandler(c, c.targetProbed),

		tanagermessage.TopicJobCallArrived:   typedHandler(c, c.jobCallArrived),
		tanagermessage.TopicJobCall:          typedHandlerWithUnsent(c, c.jobCallReceived, c.jobCallUnsent),
		tanagermessage.TopicJobResponse:      typedHandler(c, c.jobAnswered),
		tanagermessage.TopicJournalLoaded:    typedHandler(c, c.journalLoaded),
		tanagermessage.TopicJournalWritten:   typedHandler(c, c.journalWritten),
		tanagermessage.TopicRecoveryResponse: typedHandler(c, c.recoveryReceived),
		tanagermessage.TopicOfferResponse:    typedHandler(c, c.offerAnswered),
		tanagermessage.TopicAttemptStatus:    typedHandler(c, c.attemptStatusReceived),
		tanagermessage.TopicGangReservation:  typedHandler(c, c.gangReserved),

		tanagermessage.TopicWorkerSynced:           typedHandler(c, c.workerSynced),
		tanagermessage.TopicTasksStarted:           typedHandler(c, c.tasksStarted),
		tanagermessage.TopicRecoveryRequest:        typedHandler(c, c.recoveryRequested),
		tanagermessage.TopicTaskOffer:              typedHandlerWithUnsent(c, c.taskOffered, c.offerUnsent),
		tanagermessage.TopicAttemptAck:             typedHandler(c, c.taskAcked),
		tanagermessage.TopicStopAttempt:            typedHandler(c, c.taskStopRequested),
		tanagermessage.TopicGangReservationRequest: typedHandler(c, c.gangReserveRequested),
		tanagermessage.TopicGangRelease:            typedHandler(c, c.gangReleaseRequested),
	}
}
