package tanagerdispatch

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanager/tanagerwork"
)

// extremeInt draws common numbers and those at which sums and products overflow.
func extremeInt() *rapid.Generator[int64] {
	return rapid.OneOf(
		rapid.Int64Range(-2, 20),
		rapid.SampledFrom([]int64{
			100, 5000, 5001, 10000, 1 << 20, 1 << 31, 1 << 53, 1 << 62,
			math.MaxInt64 - 1, math.MaxInt64, math.MinInt64, math.MinInt64 + 1,
		}),
	)
}

// extremeMillis draws times and durations in milliseconds, some of them in other units.
func extremeMillis() *rapid.Generator[int64] {
	return rapid.OneOf(
		extremeInt(),
		rapid.SampledFrom([]int64{
			1_700_000_000, 1_700_000_000_000, 1_700_000_000_000_000, 1_700_000_000_000_000_000,
			253_402_300_799_999, 253_402_300_800_000, -62_135_596_800_000, -62_167_219_200_001,
		}),
	)
}

// mostly draws ordinary values, and extreme ones now and then, so that a value with many
// fields is often valid but for one.
func mostly[V any](ordinary, extreme *rapid.Generator[V]) *rapid.Generator[V] {
	return rapid.OneOf(ordinary, ordinary, ordinary, ordinary, ordinary, extreme)
}

// smallInt draws common numbers of tasks, occurrences and resources.
func smallInt() *rapid.Generator[int64] { return mostly(rapid.Int64Range(1, 20), extremeInt()) }

// recentMillis draws common times and durations in milliseconds.
func recentMillis() *rapid.Generator[int64] {
	return mostly(rapid.SampledFrom([]int64{200, 60_000, 31_536_000_000}), extremeMillis())
}

// clampedMillis converts milliseconds as the adapter of the platform does.
func clampedMillis(n int64) time.Duration {
	const longest = int64(math.MaxInt64 / int64(time.Millisecond))
	return time.Duration(min(max(n, -longest), longest)) * time.Millisecond
}

func extremeResources(t *rapid.T) tanagerwork.Resources {
	return tanagerwork.Resources{
		MilliCPU: smallInt().Draw(t, "cpu"),
		MemoryMB: smallInt().Draw(t, "memory"),
		GPUs:     smallInt().Draw(t, "gpus"),
	}
}

// equippedWorker has accelerators, unlike testWorker.
func equippedWorker(id string) tanagerport.WorkerEntry {
	e := testWorker(id, 1)
	e.Capacity.GPUs = 100
	return e
}

func extremeSpec(t *rapid.T) tanagerwork.Spec {
	s := tanagerwork.Spec{
		Payload:  "payload",
		Times:    int(smallInt().Draw(t, "times")),
		Interval: clampedMillis(recentMillis().Draw(t, "interval")),
	}
	if s.Times > 0 {
		s.FirstDue = time.UnixMilli(mostly(rapid.Just(int64(1_700_000_000_000)), extremeMillis()).Draw(t, "start"))
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := tanagerwork.Step{
			TaskCount:         int(smallInt().Draw(t, "count")),
			Resources:         extremeResources(t),
			Estimate:          clampedMillis(recentMillis().Draw(t, "estimate")),
			Gang:              rapid.Bool().Draw(t, "gang"),
			SpreadLimit:       int(smallInt().Draw(t, "spread")),
			LongRunning:       rapid.Bool().Draw(t, "long running"),
			DisruptionBudget:  int(smallInt().Draw(t, "budget")),
			TailLatencyTarget: clampedMillis(recentMillis().Draw(t, "target")),
			BestEffort:        rapid.Bool().Draw(t, "best effort"),
		}
		if i > 0 && rapid.Bool().Draw(t, "dependent") {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// acceptedSpec draws specifications until one is accepted.
func acceptedSpec() *rapid.Generator[tanagerwork.Spec] {
	return rapid.Custom(extremeSpec).Filter(func(s tanagerwork.Spec) bool { return s.Check() == nil })
}

// Guards against accepted jobs that end each process that stores, reads or schedules
// them, and against occurrences whose due times overflow.
func TestAcceptedJobsCanBeStoredAndScheduled(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) {
		record := testRecord("01")
		record.Spec = acceptedSpec().Draw(rt, "spec")
		stored := tanagerwire.Encode(record)
		var read tanagerwork.Record
		if err := tanagerwire.Decode(stored, &read); err != nil {
			rt.Fatal(err)
		}
		if !read.Spec.FirstDue.Equal(record.Spec.FirstDue) {
			rt.Fatalf("stored as due at %v instead of %v", read.Spec.FirstDue, record.Spec.FirstDue)
		}
		if err := read.Spec.CheckStructure(); err != nil {
			rt.Fatal(err)
		}
		for k := 1; k < record.Spec.Times; k++ {
			if !record.Spec.Due(k).After(record.Spec.Due(k - 1)) {
				rt.Fatalf("occurrence %d is due at %v, and the one before at %v", k, record.Spec.Due(k), record.Spec.Due(k-1))
			}
		}
		scheduleRecord(t, read)
	})
}

// scheduleRecord schedules a job for a while, and encodes its progress.
func scheduleRecord(t *testing.T, r tanagerwork.Record) {
	h := newHarness(t, 1)
	h.setWorkers(equippedWorker("a"), equippedWorker("b"))
	h.sync()
	h.cell.AddJob(h.now, r, nil)
	for range 5 {
		for _, o := range h.tick(100 * time.Millisecond).Starts {
			h.accept(o)
		}
		h.respondToPolls(tanagerport.Report{})
		for _, s := range h.cell.TakeSnapshots(10) {
			tanagerwire.Encode(s.Progress)
			h.cell.SnapshotWritten(s.Job, s.Version, true)
		}
	}
}

// Guards against stored records that end each scheduler that reads them: a record that
// another version has stored is either refused or can be scheduled.
func TestStoredJobsCanBeScheduledOrAreRefused(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) {
		record := testRecord("01")
		record.Spec = extremeSpec(rt)
		if record.Spec.CheckStructure() != nil {
			rt.Skip("refused")
		}
		scheduleRecord(t, record)
	})
}

// Guards against what workers and the operator write: the scheduler goes on, whatever
// the numbers are.
func TestExtremeInputsDoNotStopScheduler(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 2)
		h.cell.Configure(extremeConfiguration(rt))
		record := testRecord("01", testStep(2, 500), gangStep(2, 500))
		record.Spec.Steps[0].DisruptionBudget = 1
		h.cell.SetAdvisers([]string{"adviser"})
		h.cell.AddPredecessorWorkers(h.now, []string{"a", "c"})
		h.cell.AddJob(h.now, record, extremeProgress(rt))
		h.cell.AddWave(h.now, tanagerport.Wave{
			Number:         int(smallInt().Draw(rt, "wave")),
			Machines:       []string{"m", "m", "n"},
			TimeLimit:      clampedMillis(recentMillis().Draw(rt, "time limit")),
			MaxUnavailable: int(smallInt().Draw(rt, "cap")),
		})
		for range 50 {
			a, b := equippedWorker("a"), testWorker("b", smallInt().Draw(rt, "incarnation"))
			b.Capacity = extremeResources(rt)
			b.Draining = rapid.IntRange(0, 9).Draw(rt, "draining") == 0
			b.TerminatesIn = clampedMillis(recentMillis().Draw(rt, "remaining"))
			b.Machine = "m"
			h.setWorkers(a, b)
			h.cell.SetMachines(h.now, []tanagerport.Machine{{
				Name:     "m",
				State:    tanagerport.MachineUp,
				WorkerID: "b",
			}})
			out := h.tick(200 * time.Millisecond)
			for _, o := range out.Starts {
				h.accept(o)
			}
			for _, o := range out.Advice {
				h.cell.HandleAdviceResponse(h.now, o, h.now, extremeAdvice(rt), nil)
			}
			if rapid.Bool().Draw(rt, "silent") {
				h.failPoll("b")
			}
			h.respondToPolls(extremeReport(rt, record.ID))
			h.cell.Load()
			h.cell.Roster()
			h.storeProgress()
		}
	})
}

func extremeConfiguration(t *rapid.T) tanagerport.Configuration {
	q := tanagerport.Queue{
		Name:        testQueue,
		Service:     testService,
		Timeout:     clampedMillis(extremeMillis().Draw(t, "timeout")),
		Priority:    int(extremeInt().Draw(t, "priority")),
		MaxAttempts: int(extremeInt().Draw(t, "max attempts")),
		Stretch:     rapid.SampledFrom([]float64{0, 1, -1, 1e300, math.Inf(1), math.Inf(-1), math.NaN()}).Draw(t, "stretch"),
		Slack:       clampedMillis(extremeMillis().Draw(t, "slack")),
	}
	if rapid.Bool().Draw(t, "advised") {
		q.Advice = &tanagerport.AdvicePolicy{
			DecisionTime:  max(clampedMillis(extremeMillis().Draw(t, "decision")), 0),
			TimePerWorker: max(clampedMillis(extremeMillis().Draw(t, "period")), 0),
			TicketTTL:     max(clampedMillis(extremeMillis().Draw(t, "valid")), 0),
		}
	}
	return tanagerport.Configuration{
		Version: extremeInt().Draw(t, "version"),
		Queues:  []tanagerport.Queue{q},
	}
}

func extremeAdvice(t *rapid.T) tanagerport.Advice {
	return tanagerport.Advice{
		Valid:   clampedMillis(recentMillis().Draw(t, "ticket valid")),
		Tickets: rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "x", "y"}), rapid.Just("ticket")).Draw(t, "tickets"),
	}
}

func extremeTask(t *rapid.T, id tanagerwork.JobID) tanagerwork.TaskName {
	number := rapid.SampledFrom([]int{0, 1, 2, math.MaxInt32})
	return tanagerwork.TaskName{
		StepName: tanagerwork.StepName{
			Job:        id,
			Occurrence: number.Draw(t, "occurrence"),
			Step:       number.Draw(t, "step"),
		},
		Index: number.Draw(t, "index"),
	}
}

func extremeReport(t *rapid.T, id tanagerwork.JobID) tanagerport.Report {
	r := tanagerport.Report{Incarnation: mostly(rapid.Just(int64(0)), extremeInt()).Draw(t, "reported incarnation")}
	for range max(rapid.IntRange(-6, 2).Draw(t, "running"), 0) {
		r.Running = append(r.Running, tanagerport.ActiveRun{
			Task:    extremeTask(t, id),
			Run:     smallInt().Draw(t, "run"),
			Percent: int(extremeInt().Draw(t, "percent")),
			Gauge:   rapid.Float64().Draw(t, "gauge"),
		})
	}
	for range max(rapid.IntRange(-6, 2).Draw(t, "ended"), 0) {
		r.Ended = append(r.Ended, tanagerport.EndedRun{
			SequenceNumber: smallInt().Draw(t, "number"),
			Task:           extremeTask(t, id),
			Run:            smallInt().Draw(t, "ended run"),
			Reason: rapid.SampledFrom([]tanagerport.EndReason{
				tanagerport.EndedDone, tanagerport.EndedFailed, tanagerport.EndedLeaseExpired, "other",
			}).Draw(t, "reason"),
		})
	}
	return r
}

func extremeProgress(t *rapid.T) *tanagerwork.Progress {
	number := int(extremeInt().Draw(t, "stored number"))
	runs := tanagerwork.FailedRuns{extremeInt().Draw(t, "stored run")}
	return &tanagerwork.Progress{
		State:   tanagerwork.Running,
		Started: true,
		Done: tanagerwork.OccurrenceSet{{
			First: number,
			Last:  int(extremeInt().Draw(t, "stored last")),
		}},
		Steps: []tanagerwork.StepProgress{{
			Occurrence: int(extremeInt().Draw(t, "stored occurrence")),
			Step:       number,
			Done:       []int{number},
			Failures:   map[int]tanagerwork.FailedRuns{number: runs},
			Crashes:    map[int]tanagerwork.FailedRuns{number: runs},
			PresumedCrashes: map[int][]tanagerwork.PresumedCrash{number: {{
				Run:         extremeInt().Draw(t, "presumed run"),
				Worker:      "c",
				Incarnation: int64(number),
			}}},
		}},
	}
}
