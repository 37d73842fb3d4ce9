// Package tanagerpeer carries messages between daemons over WebSocket with
// CBOR frames, as a watermill publisher and subscriber.
//
// Each daemon dials one connection to every daemon that it sends to, so a pair
// of daemons has up to two. Messages on one connection arrive in order and at
// most once. Nothing is sent again: whether a message may be repeated is for
// its sender to decide.
//
// A message that certainly was not written to a connection is handed back to
// the subscriber with the metadata key UnsentKey, so that the sender can say
// "not run" with certainty. When a connection breaks the subscriber receives a
// message of topic LostTopic that names the peer; what was written before that
// may or may not have arrived.
//
// # Usage
//
//	transport := tanagerpeer.New(settings, directory)
//	messages, err := transport.Subscribe(ctx, tanagerpeer.AllTopics)
//	err = transport.Publish("request.place", message)
//
// The destination is the message's metadata key ToKey. A message to the daemon
// itself is delivered without a connection.
package tanagerpeer
