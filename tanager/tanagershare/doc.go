// Package tanagershare decides which branch's task is placed next, by weighted
// dominant resource fairness over CPU, memory and accelerators.
//
// The dominant share of a branch is the largest fraction of any one resource
// that is allocated to it (Ghodsi et al., "Dominant Resource Fairness", NSDI
// 2011). The branch with the smallest dominant share divided by its weight goes
// first. Weights and quotas of branches are set centrally; within a branch the
// classes go in the order urgent, normal, batch.
//
// An urgent task goes before the tasks of other branches while the dominant
// share of the branch's urgent tasks, including this one, is within the branch's
// urgent share. Beyond that it takes the branch's regular turn, so urgency alone
// cannot take over the fleet.
//
// # Starvation bound
//
// While a branch has a waiting task that fits, no branch with a larger weighted
// dominant share is given anything but urgent tasks within its urgent share. Of
// what the urgent shares leave, a branch with enough demand is therefore
// allocated at least its weight's fraction of its dominant resource, less one
// task.
//
// # Usage
//
//	backlog := tanagershare.New[Task](capacity)
//	backlog.SetBranch("rosenheim", tanagershare.BranchSettings{Weight: 2, UrgentShare: 0.2})
//	backlog.Push("rosenheim", tanagerqueue.Normal, demand, task)
//	backlog.Round(func(e *tanagershare.Entry[Task]) bool { return place(e) })
//
// A Backlog is not safe for concurrent use; the control goroutine owns it.
package tanagershare
