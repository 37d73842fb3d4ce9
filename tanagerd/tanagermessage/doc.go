// Package tanagermessage defines the typed messages that the control goroutine
// of a daemon exchanges with the daemon's I/O goroutines and with other daemons.
//
// Every message is a watermill message on a topic. The payload of a message to
// another daemon is its CBOR encoding. A message within the process carries its
// Go value in the message's context and is not encoded.
//
// Durations in messages are relative to the receipt of the message, so that the
// daemons' clocks need not agree.
//
// # Usage
//
//	m := tanagermessage.Remote(to, tanagermessage.RequestDispatch{...})
//	err := publisher.Publish(tanagermessage.TopicRequestDispatch, m)
//
//	m := tanagermessage.Local(tanagermessage.RequestArrived{...})
//	value, err := tanagermessage.Decode[tanagermessage.RequestArrived](m)
package tanagermessage
