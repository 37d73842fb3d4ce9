// Package tanagerwire encodes and decodes the messages between daemons and the
// values that they keep in the platform's store.
//
// The format is CBOR with the json tags of struct fields as snake_case keys, so
// that one set of tags serves both CBOR and JSON. Durations are integers in
// nanoseconds. Unknown keys are ignored, so that daemons of two versions can
// communicate during a rolling upgrade.
//
// # Usage
//
//	payload := tanagerwire.Encode(message)
//	err := tanagerwire.Decode(payload, &message)
package tanagerwire
