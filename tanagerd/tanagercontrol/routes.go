package tanagercontrol

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanagerd/tanagermessage"
)

// routes registers the periodic systems and returns the handlers by topic.
func (c *Control) routes() map[string]func(*message.Message, time.Time) {
	c.schedule.every(promiseInterval, c.askPromises)
	c.schedule.every(shardInterval, c.tendShards)
	c.schedule.every(gateInterval, c.tendGates)
	c.schedule.every(rulesInterval, c.applyRules)
	c.schedule.every(sweepInterval, c.sweepHomes)
	c.schedule.every(sweepInterval, c.sweepOwned)
	c.schedule.every(statusInterval, c.askTargets)
	c.schedule.every(sweepInterval, c.tendWorkers)
	c.schedule.every(recoverInterval, c.recoverJobs)
	c.schedule.every(sweepInterval, c.sweepJobs)
	c.schedule.every(gossipInterval, c.gossip)
	c.schedule.every(sweepInterval, c.tendPlans)
	return map[string]func(*message.Message, time.Time){
		tanagerpeer.LostTopic: func(m *message.Message, now time.Time) {
			c.peerLost(m.Metadata.Get(tanagerpeer.FromKey), now)
		},
		tanagermessage.TopicLeaseRenewed: handle(c, c.leaseRenewed),
		tanagermessage.TopicLeaseLost:    handle(c, c.leaseLost),
		tanagermessage.TopicStoreChanged: handle(c, c.storeChanged),
		tanagermessage.TopicVMsChanged:   handle(c, c.vmsChanged),
		tanagermessage.TopicMapSwapped:   handle(c, c.mapSwapped),
		tanagermessage.TopicGossip:       handle(c, c.gossiped),
		tanagermessage.TopicEntries:      handle(c, c.entriesRelayed),
		tanagermessage.TopicPromiseAsk:   handle(c, c.promiseAsked),
		tanagermessage.TopicPromiseGive:  handle(c, c.promiseGiven),
		tanagermessage.TopicConfirmAsk:   handle(c, c.confirmAsked),
		tanagermessage.TopicConfirmGive:  handle(c, c.confirmGiven),
		tanagermessage.TopicDrain:        handle(c, c.drain),
		tanagermessage.TopicStatusWanted: handle(c, c.statusWanted),
		tanagermessage.TopicPlanWanted:   handle(c, c.planWanted),
		tanagermessage.TopicConfigWanted: handle(c, c.configWanted),
		tanagermessage.TopicUseAsk:       handle(c, c.useAsked),
		tanagermessage.TopicUseGive:      handle(c, c.useGiven),

		tanagermessage.TopicRequestArrived: handle(c, c.requestArrived),
		tanagermessage.TopicRequestGone:    handle(c, c.requestGone),
		tanagermessage.TopicIDsWanted:      handle(c, c.idsWanted),
		tanagermessage.TopicRequestRelay:   handleBoth(c, c.requestRelayed, c.relayUnsent),
		tanagermessage.TopicRequestFinal:   handle(c, c.requestFinal),
		tanagermessage.TopicRequestAnswer:  handle(c, c.requestAnswered),
		tanagermessage.TopicRequestPlace:   handleBoth(c, c.requestPlaced, c.placeUnsent),
		tanagermessage.TopicRequestCancel:  handle(c, c.requestCancelled),
		tanagermessage.TopicRequestRan:     handle(c, c.requestRan),
		tanagermessage.TopicTargetStatus:   handle(c, c.targetStatus),

		tanagermessage.TopicJobWanted:      handle(c, c.jobWanted),
		tanagermessage.TopicJobCall:        handleBoth(c, c.jobCalled, c.jobCallUnsent),
		tanagermessage.TopicJobAnswer:      handle(c, c.jobAnswered),
		tanagermessage.TopicJournalLoaded:  handle(c, c.journalLoaded),
		tanagermessage.TopicJournalWritten: handle(c, c.journalWritten),
		tanagermessage.TopicJobRecovered:   handle(c, c.jobRecovered),
		tanagermessage.TopicTaskAnswer:     handle(c, c.taskAnswered),
		tanagermessage.TopicTaskEnded:      handle(c, c.taskEnded),
		tanagermessage.TopicGangReserved:   handle(c, c.gangReserved),

		tanagermessage.TopicWorkerSynced: handle(c, c.workerSynced),
		tanagermessage.TopicTasksStarted: handle(c, c.tasksStarted),
		tanagermessage.TopicJobRecover:   handle(c, c.recoverAsked),
		tanagermessage.TopicTaskOffer:    handleBoth(c, c.taskOffered, c.offerUnsent),
		tanagermessage.TopicTaskAck:      handle(c, c.taskAcked),
		tanagermessage.TopicTaskStop:     handle(c, c.taskStopAsked),
		tanagermessage.TopicGangReserve:  handle(c, c.gangReserveAsked),
		tanagermessage.TopicGangRelease:  handle(c, c.gangReleased),
	}
}
