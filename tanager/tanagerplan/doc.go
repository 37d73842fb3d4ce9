// Package tanagerplan computes what an intent would change before it takes
// effect.
//
// A plan is computed by the same algorithm that schedules: it allocates a model
// of the fleet to the present demand with package tanagershare, once under the
// present configuration and once with the intent applied, and compares the share
// of each branch. A plan names the configuration revision it was computed from.
// Confirming the plan applies the intent to exactly that revision, or fails if
// the configuration has changed since.
//
// # Usage
//
//	plan, failure := tanagerplan.Compute(tanagerplan.Input{
//		State: state, Intent: intent, Now: now, Total: capacity, BranchUsages: usages,
//	})
package tanagerplan
