// Package tanagershare decides whose task is placed next, by hierarchical
// dominant-resource fairness over processors, memory and accelerators.
//
// The dominant share of a branch is the largest part that it holds of any one
// resource (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011). The branch
// with the smallest dominant share divided by its weight goes first. Above the
// branches stands the centre, which sets weights and quotas; below, a branch
// orders its own classes: urgent, normal, batch.
//
// Urgent tasks go before the others while the urgent part of a branch's
// dominant share is below its urgent share. Beyond that they wait in the
// branch's ordinary order, so urgency alone cannot take the fleet.
//
// # Starvation bound
//
// While a branch has a task waiting that fits, no other branch with a larger
// weighted dominant share is given anything but urgent work inside its urgent
// share. A branch therefore holds at least its weight's part of the dominant
// resource, less one task, of what the urgent shares leave.
//
// # Usage
//
//	backlog := tanagershare.New[Task](total)
//	backlog.SetBranch("rosenheim", tanagershare.Branch{Weight: 2, UrgentShare: 0.2})
//	backlog.Push("rosenheim", tanagerqueue.Normal, demand, task)
//	backlog.Round(func(e *tanagershare.Entry[Task]) bool { return place(e) })
//
// A Backlog is not safe for concurrent use; the control goroutine owns it.
package tanagershare
