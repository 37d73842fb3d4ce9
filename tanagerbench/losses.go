package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// loss is why the caller of a job did not have its result in time.
type loss string

// The reasons, in the order in which they are looked for. An interruption is a
// time without a scheduler, or with one that waited for workers of its
// predecessor.
const (
	lossNone         loss = "none"
	lossCancelled    loss = "cancelled"
	lossStoreAway    loss = "refused, store away"
	lossOverload     loss = "refused, overload"
	lossUnsure       loss = "never accepted, outcome unknown"
	lossFailed       loss = "failed by its own runs"
	lossInterruption loss = "late, no scheduler"
	lossUnstored     loss = "late, end not stored"
	lossWorker       loss = "late, worker lost or silent"
	lossRuns         loss = "late, runs failed or stopped"
	lossWaited       loss = "late, waited for a start"
	lossSlowRun      loss = "late, ran long"
)

// The limits from which a phase of a job counts as the reason of its loss.
const (
	// minInterruption is the time between acceptance and scheduling that only a
	// missing scheduler explains.
	minInterruption = 500 * time.Millisecond
	// maxWaitRatio of the objective is the wait that is no loss.
	maxWaitRatio = 0.3
)

// printLosses reads the log of a play, with the time in seconds at the start of
// each line, and prints for each queue how many jobs were lost and why.
func printLosses(w io.Writer, log io.Reader) error {
	play, err := readPlayLog(log)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "queue\treason\tjobs\tshare\t")
	counts := play.countLosses()
	for _, queue := range slices.Sorted(maps.Keys(counts)) {
		total := 0
		for _, n := range counts[queue] {
			total += n
		}
		for _, reason := range slices.Sorted(maps.Keys(counts[queue])) {
			n := counts[queue][reason]
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f%%\t\n", queue, reason, n, 100*float64(n)/float64(total))
		}
	}
	return table.Flush()
}

// countLosses returns the number of jobs by queue and reason.
func (p *playLog) countLosses() map[string]map[loss]int {
	medians := medianTurnarounds(p.jobs)
	counts := make(map[string]map[loss]int)
	for _, t := range p.jobs {
		if t.queue == "" {
			continue
		}
		if counts[t.queue] == nil {
			counts[t.queue] = make(map[loss]int)
		}
		counts[t.queue][t.classify(p, lateFactor*medians[t.queue])]++
	}
	return counts
}

// lateFactor times the median turnaround of a queue is the age from which its jobs
// count as late. The log does not have the objectives of jobs.
const lateFactor = 2

// classify returns why a job was lost, if its result counts as late at the given
// age.
func (t *jobTrace) classify(play *playLog, lateAt time.Duration) loss {
	stored := play.storedAt(t.completedBy, t.completed)
	switch {
	case t.cancelled:
		return lossCancelled
	case !t.wasAccepted && !t.wasAdded:
		return t.refusal()
	case t.failed:
		return lossFailed
	case t.ended && stored-t.firstSeen <= lateAt:
		return lossNone
	case t.ended && t.completed-t.firstSeen <= lateAt:
		return lossUnstored
	case t.wasAdded && t.added-t.accepted > minInterruption && t.wasAccepted, t.inherited:
		return lossInterruption
	case t.refusedStore > 0:
		return lossStoreAway
	case t.refusedOverload > 0:
		return lossOverload
	case t.workerLost:
		return lossWorker
	case t.failedRuns+t.stoppedRuns > 0:
		return lossRuns
	case !t.started || t.firstStart-t.firstSeen > time.Duration(maxWaitRatio*float64(lateAt)):
		return lossWaited
	}
	return lossSlowRun
}

// refusal returns why a job was never accepted.
func (t *jobTrace) refusal() loss {
	switch {
	case t.unsure > 0:
		return lossUnsure
	case t.refusedOverload > t.refusedStore:
		return lossOverload
	}
	return lossStoreAway
}

// medianTurnarounds returns the median time from the first sight of a job to its
// completion, by queue.
func medianTurnarounds(traces map[string]*jobTrace) map[string]time.Duration {
	byQueue := make(map[string][]time.Duration)
	for _, t := range traces {
		if t.ended {
			byQueue[t.queue] = append(byQueue[t.queue], t.completed-t.firstSeen)
		}
	}
	medians := make(map[string]time.Duration, len(byQueue))
	for queue, values := range byQueue {
		slices.Sort(values)
		medians[queue] = values[len(values)/2]
	}
	return medians
}
