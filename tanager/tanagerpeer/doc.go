// Package tanagerpeer carries messages between daemons as CBOR frames over
// WebSocket connections. It implements a watermill publisher and subscriber.
//
// Each daemon dials one connection to every daemon that it sends to, so a pair
// of daemons has up to two. Messages on one connection arrive in order and at
// most once. The transport never retries: only the sender knows whether a
// message is idempotent.
//
// A message that was certainly not written to a connection is returned to the
// subscriber with the metadata key UnsentKey, so that the sender can report the
// outcome "not run" with certainty. When a connection breaks, the subscriber
// receives a message of topic ConnectionLostTopic that names the peer; messages
// written before that may or may not have arrived.
//
// # Usage
//
//	transport := tanagerpeer.New(settings, directory)
//	messages, err := transport.Subscribe(ctx, tanagerpeer.AllTopics)
//	err = transport.Publish("request.place", message)
//
// The destination is the message's metadata key ToKey. A message to the daemon
// itself is delivered locally, without a connection.
package tanagerpeer
