// Package tanagermessage holds the typed messages that the control goroutine of
// a daemon exchanges with its own traffic goroutines and with other daemons.
//
// Every message is a watermill message on a topic. A message to another daemon
// carries the CBOR form of its type as payload. A message inside the process
// carries the value itself in the message's context, so that nothing is encoded
// on the way.
//
// Durations in messages count from the receipt of the message, so that daemons
// need no common clock.
//
// # Usage
//
//	m := tanagermessage.Remote(to, tanagermessage.RequestPlace{...})
//	err := publisher.Publish(tanagermessage.TopicRequestPlace, m)
//
//	m := tanagermessage.Local(tanagermessage.RequestArrived{...})
//	value, err := tanagermessage.Decode[tanagermessage.RequestArrived](m)
package tanagermessage
