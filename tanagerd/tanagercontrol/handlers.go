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
		tanagerpeer.LostTopic: func(m *message.Message, now time.Time) {
			c.peerLost(m.Metadata.Get(tanagerpeer.FromKey), now)
		},
		tanagermessage.TopicLeaseRenewed: typedHandler(c, c.leaseRenewed),
		tanagermessage.TopicLeaseLost:    typedHandler(c, c.leaseLost),
		tanagermessage.TopicStoreChanged: typedHandler(c, c.storeChanged),
		tanagermessage.TopicVMsChanged:   typedHandler(c, c.vmsChanged),
		tanagermessage.TopicMapSwapped:   typedHandler(c, c.mapSwapped),
		tanagermessage.TopicGossip:       typedHandler(c, c.gossipReceived),
		tanagermessage.TopicEntries:      typedHandler(c, c.entriesReceived),
		tanagermessage.TopicPromiseAsk:   typedHandler(c, c.promiseRequested),
		tanagermessage.TopicPromiseGive:  typedHandler(c, c.promiseReceived),
		tanagermessage.TopicConfirmAsk:   typedHandler(c, c.confirmationRequested),
		tanagermessage.TopicConfirmGive:  typedHandler(c, c.confirmationReceived),
		tanagermessage.TopicDrain:        typedHandler(c, c.drainRequested),
		tanagermessage.TopicStatusWanted: typedHandler(c, c.statusRequested),
		tanagermessage.TopicPlanWanted:   typedHandler(c, c.planRequested),
		tanagermessage.TopicConfigWanted: typedHandler(c, c.configRequested),
		tanagermessage.TopicUseAsk:       typedHandler(c, c.usageRequested),
		tanagermessage.TopicUseGive:      typedHandler(c, c.usageReceived),

		tanagermessage.TopicRequestArrived: typedHandler(c, c.requestArrived),
		tanagermessage.TopicRequestGone:    typedHandler(c, c.callerDisconnected),
		tanagermessage.TopicIDsWanted:      typedHandler(c, c.idsRequested),
		tanagermessage.TopicRequestRelay:   typedHandlerWithUnsent(c, c.requestRelayed, c.relayUnsent),
		tanagermessage.TopicRequestFinal:   typedHandler(c, c.finalAnswerReceived),
		tanagermessage.TopicRequestAnswer:  typedHandler(c, c.requestAnswered),
		tanagermessage.TopicRequestPlace:   typedHandlerWithUnsent(c, c.requestPlaced, c.placementUnsent),
		tanagermessage.TopicRequestCancel:  typedHandler(c, c.requestCancelled),
		tanagermessage.TopicRequestRan:     typedHandler(c, c.runFinished),
		tanagermessage.TopicTargetStatus:   typedHandler(c, c.targetProbed),

		tanagermessage.TopicJobWanted:      typedHandler(c, c.jobCallArrived),
		tanagermessage.TopicJobCall:        typedHandlerWithUnsent(c, c.jobCallReceived, c.jobCallUnsent),
		tanagermessage.TopicJobAnswer:      typedHandler(c, c.jobAnswered),
		tanagermessage.TopicJournalLoaded:  typedHandler(c, c.journalLoaded),
		tanagermessage.TopicJournalWritten: typedHandler(c, c.journalWritten),
		tanagermessage.TopicJobRecovered:   typedHandler(c, c.recoveryReceived),
		tanagermessage.TopicTaskAnswer:     typedHandler(c, c.offerAnswered),
		tanagermessage.TopicTaskEnded:      typedHandler(c, c.attemptStatusReceived),
		tanagermessage.TopicGangReserved:   typedHandler(c, c.gangReserved),

		tanagermessage.TopicWorkerSynced: typedHandler(c, c.workerSynced),
		tanagermessage.TopicTasksStarted: typedHandler(c, c.tasksStarted),
		tanagermessage.TopicJobRecover:   typedHandler(c, c.recoveryRequested),
		tanagermessage.TopicTaskOffer:    typedHandlerWithUnsent(c, c.taskOffered, c.offerUnsent),
		tanagermessage.TopicTaskAck:      typedHandler(c, c.taskAcked),
		tanagermessage.TopicTaskStop:     typedHandler(c, c.taskStopRequested),
		tanagermessage.TopicGangReserve:  typedHandler(c, c.gangReserveRequested),
		tanagermessage.TopicGangRelease:  typedHandler(c, c.gangReleaseRequested),
	}
}
