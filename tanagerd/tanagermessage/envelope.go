package tanagermessage

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerwire"
)

type valueKey struct{}

// Local returns a message that carries a value inside this process.
func Local(value any) *message.Message {
	m := message.NewMessage("", nil)
	m.SetContext(context.WithValue(context.Background(), valueKey{}, value))
	return m
}

// Remote returns a message that carries the encoded value to a daemon.
func Remote(to string, value any) *message.Message {
	m := message.NewMessage("", tanagerwire.Encode(value))
	m.Metadata.Set(tanagerpeer.ToKey, to)
	return m
}

// Decode returns the value of a message.
func Decode[T any](m *message.Message) (T, error) {
	if value, ok := m.Context().Value(valueKey{}).(T); ok {
		return value, nil
	}
	var value T
	err := tanagerwire.Decode(m.Payload, &value)
	return value, err
}

// Unsent reports whether the message is one of this daemon's own that certainly
// did not reach its peer.
func Unsent(m *message.Message) bool { return m.Metadata.Get(tanagerpeer.UnsentKey) != "" }
