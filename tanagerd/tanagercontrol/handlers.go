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
	c.schedule.every(reconcileInterval, c.completePlans)
	return map[string]func(*message.Message, time.Time){
		tanagerpeer.ConnectionLostTopic: func(m *message.Message, now time.Time) {
			c.handleConnectionLost(m.Metadata.Get(tanagerpeer.FromKey), now)
		},
		tanagermessage.TopicLeaseRenewed:    typedHandler(c, c.handleLeaseRenewed),
		tanagermessage.TopicLeaseLost:       typedHandler(c, c.handleLeaseLost),
		tanagermessage.TopicStoreChanged:    typedHandler(c, c.handleStoreChanged),
		tanagermessage.TopicVMListChanged:   typedHandler(c, c.handleVMListChanged),
		tanagermessage.TopicShardMapWritten: typedHandler(c, c.handleShardMapWritten),
		tanagermessage.TopicGossip:          typedHandler(c, c.handleGossip),
		tanagermessage.TopicStoreEntries:    typedHandler(c, c.handleStoreEntries),
		tanagermessage.TopicPromiseRequest:  typedHandler(c, c.handlePromiseRequest),
		tanagermessage.TopicPromiseResponse: typedHandler(c, c.handlePromiseResponse),
		tanagermessage.TopicConfirmRequest:  typedHandler(c, c.handleConfirmRequest),
		tanagermessage.TopicConfirmResponse: typedHandler(c, c.handleConfirmResponse),
		tanagermessage.TopicDrain:           typedHandler(c, c.handleDrain),
		tanagermessage.TopicStatusRequested: typedHandler(c, c.handleStatusRequested),
		tanagermessage.TopicPlanRequested:   typedHandler(c, c.handlePlanRequested),
		tanagermessage.TopicConfigRequested: typedHandler(c, c.handleConfigRequested),
		tanagermessage.TopicUsageRequest:    typedHandler(c, c.handleUsageRequest),
		tanagermessage.TopicUsageResponse:   typedHandler(c, c.handleUsageResponse),

		tanagermessage.TopicRequestArrived:     typedHandler(c, c.handleRequestArrived),
		tanagermessage.TopicCallerDisconnected: typedHandler(c, c.handleCallerDisconnected),
		tanagermessage.TopicIDsRequested:       typedHandler(c, c.handleIDsRequested),
		tanagermessage.TopicRelayRequest:       typedHandlerWithUnsent(c, c.handleRelayRequest, c.handleUnsentRelayRequest),
		tanagermessage.TopicRelayResponse:      typedHandler(c, c.handleRelayResponse),
		tanagermessage.TopicRequestResult:      typedHandler(c, c.handleRequestResult),
		tanagermessage.TopicRequestDispatch: typedHandlerWithUnsent(c, c.handleRequestDispatch,
			c.handleUnsentRequestDispatch),
		tanagermessage.TopicRequestCancel: typedHandler(c, c.handleRequestCancel),
		tanagermessage.TopicRunFinished:   typedHandler(c, c.handleRunFinished),
		tanagermessage.TopicTargetProbed:  typedHandler(c, c.handleTargetProbed),

		tanagermessage.TopicJobCallArrived:   typedHandler(c, c.handleJobCallArrived),
		tanagermessage.TopicJobCall:          typedHandlerWithUnsent(c, c.handleJobCall, c.handleUnsentJobCall),
		tanagermessage.TopicJobResponse:      typedHandler(c, c.handleJobResponse),
		tanagermessage.TopicJournalLoaded:    typedHandler(c, c.handleJournalLoaded),
		tanagermessage.TopicJournalWritten:   typedHandler(c, c.handleJournalWritten),
		tanagermessage.TopicRecoveryResponse: typedHandler(c, c.handleRecoveryResponse),
		tanagermessage.TopicOfferResponse:    typedHandler(c, c.handleOfferResponse),
		tanagermessage.TopicAttemptStatus:    typedHandler(c, c.handleAttemptStatus),
		tanagermessage.TopicGangReservation:  typedHandler(c, c.handleGangReservation),

		tanagermessage.TopicWorkerSynced:           typedHandler(c, c.handleWorkerSynced),
		tanagermessage.TopicTasksStarted:           typedHandler(c, c.handleTasksStarted),
		tanagermessage.TopicRecoveryRequest:        typedHandler(c, c.handleRecoveryRequest),
		tanagermessage.TopicTaskOffer:              typedHandlerWithUnsent(c, c.handleTaskOffer, c.handleUnsentTaskOffer),
		tanagermessage.TopicAttemptAck:             typedHandler(c, c.handleAttemptAck),
		tanagermessage.TopicStopAttempt:            typedHandler(c, c.handleStopAttempt),
		tanagermessage.TopicGangReservationRequest: typedHandler(c, c.handleGangReservationRequest),
		tanagermessage.TopicGangRelease:            typedHandler(c, c.handleGangRelease),
	}
}
