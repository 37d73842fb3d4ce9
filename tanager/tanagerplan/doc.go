// Package tanagerplan computes what an intent would change before it takes
// effect.
//
// A plan is computed by the code that decides: it fills a copy of the fleet with
// the present demand by package tanagershare, once under the present rules and
// once under the rules with the intent applied, and compares what each branch
// gets. A plan names the revision it was computed from; confirming it applies the
// intent to exactly that revision or says that the configuration has changed.
//
// # Usage
//
//	plan, failure := tanagerplan.Compute(tanagerplan.Input{State: state, Intent: intent, Now: now, Total: total, Uses: uses})
package tanagerplan
