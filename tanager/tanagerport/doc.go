// Package tanagerport holds the types that cross the boundary between the
// scheduler and the system it runs on: the store, the workers, the advice
// service, the machines and the operator's configuration.
//
// An adapter translates a wire format into these types and nothing else; the
// scheduler declares the interfaces it needs with them. Each failure of a call
// is one of the error types below, because what may be done next depends on
// whether the call had an effect:
//
//   - Refused: nothing was done, and the same call may succeed later.
//   - Unanswered: the call may have been executed or may yet be.
//   - Conflict: a condition of a transaction does not hold.
//   - NotFound, Compacted: the thing or its history no longer exists.
//   - Malformed: the other side sent something that cannot be used.
//
// # Usage
//
//	revision, err := store.Commit(ctx, tanagerport.Transaction{
//		Expect: []tanagerport.Expectation{{Key: "a", Revision: 0}},
//		Writes: []tanagerport.Write{{Key: "a", Value: value}},
//	})
//	if errorx.IsOfType(err, tanagerport.Unanswered) {
//		// repeat it: the expectation makes the repetition harmless
//	}
package tanagerport
