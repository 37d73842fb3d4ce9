// Package tanagerwork is the model of jobs: what a caller hands in, how it is
// named, and what is kept of its progress.
//
// A job has steps; a step has equal tasks that are started one by one or, for a
// gang, all together. A step becomes eligible when all tasks of the steps in
// After are done. A job with Times greater than zero runs its steps once for
// each occurrence. A Run is one start of a task on a worker; its number rises
// with each start of that task.
//
// Record is written once, when the job is accepted. Progress is written by the
// daemon that schedules the job, under its epoch. Both are plain data: encoding
// is left to the caller. Resources are in thousandths of a core, megabytes and
// whole accelerators; durations are time.Duration.
//
// # Usage
//
//	spec := tanagerwork.Spec{
//		Payload: "standings of club 7",
//		Steps: []tanagerwork.Step{{
//			Count: 4,
//			Need:  tanagerwork.Resources{MilliCPU: 500, MemoryMB: 256},
//		}},
//	}
//	if err := spec.Check(); err != nil {
//		// the caller gets the reason
//	}
package tanagerwork
