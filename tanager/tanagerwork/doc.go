// Package tanagerwork defines the model of jobs: their specification, their ids
// and the state that is stored about them.
//
// A job consists of steps. A step consists of identical tasks, which are started
// one by one or, in a gang, all together. A step may start when all tasks of the
// steps that it depends on are done. A recurring job runs its steps once for each
// occurrence. A run is one execution of a task on a worker; run numbers increase
// with each start of the task.
//
// A Record is written once, when the job is accepted. Progress is written by the
// daemon that schedules the job, under its epoch. Both are plain data; encoding
// is left to the caller. Resources are in thousandths of a core, megabytes and
// whole accelerators.
//
// # Usage
//
//	spec := tanagerwork.Spec{
//		Payload: "standings of club 7",
//		Steps: []tanagerwork.Step{{
//			TaskCount: 4,
//			Resources: tanagerwork.Resources{MilliCPU: 500, MemoryMB: 256},
//		}},
//	}
//	if err := spec.Check(); err != nil {
//		// The job is rejected with the error as the reason.
//	}
package tanagerwork
