// Package tanagerwire encodes and decodes the messages that daemons exchange
// and the values they keep in the platform's store.
//
// The format is CBOR with the struct's json tags as snake_case keys, so that
// one set of tags serves both CBOR and JSON. Durations are integers of
// nanoseconds. Unknown keys are ignored, which lets daemons of two versions
// talk to each other while they are replaced.
//
// # Usage
//
//	payload := tanagerwire.Encode(message)
//	err := tanagerwire.Decode(payload, &message)
package tanagerwire
