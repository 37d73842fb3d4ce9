// Package tanagerport defines the types that cross the boundary between the
// scheduler and the systems around it: the store, the workers, the advice
// service, the machines and the operator's configuration.
//
// Adapters only translate between a wire format and these types. The scheduler
// declares the interfaces that it needs in terms of them. A call fails with one
// of the following error types, which tell whether the call can have had an
// effect and therefore what may be done next:
//
//   - Refused: the call had no effect and may succeed later.
//   - NotReached: no connection to the addressed worker was made in time. The call had no
//     effect and may succeed at once.
//   - NotSent: the caller itself has not made the call, which says nothing of the
//     other side.
//   - OutcomeUnknown: the call may have been executed or may still be.
//   - Conflict: a precondition of a transaction does not hold.
//   - NotFound, Compacted: the object or its history no longer exists.
//   - Malformed: the peer sent data that cannot be used.
//
// # Usage
//
//	revision, items, err := store.Commit(ctx, tanagerport.Transaction{
//		Preconditions: []tanagerport.Precondition{{Key: "a", Revision: 0}},
//		Writes:        []tanagerport.Write{{Key: "a", Value: value}},
//	})
//	if errorx.IsOfType(err, tanagerport.OutcomeUnknown) {
//		// Retry: the precondition makes the transaction idempotent.
//	}
package tanagerport
