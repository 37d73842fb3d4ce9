package tanagermessage

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"

	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerwire"
)

// valueKey is the context key of the value of a local message.
type valueKey struct{}

// Local returns a message that carries a value within this process.
func Local(value any) *message.Message {
	m := message.NewMessage("", nil)
	m.SetContext(context.WithValue(context.Background(), valueKey{}, value))
	return m
}

// Remote returns a message that carries the encoded value to the daemon whose
// member ID is to.
func Remote(to string, value any) *message.Message {
	m := message.NewMessage("", tanagerwire.Encode(value))
	m.Metadata.Set(tanagerpeer.ToKey, to)
	return m
}

// Decode returns the value of a local or remote message. It returns an error if
// the payload of a remote message cannot be decoded as a T.
func Decode[T any](m *message.Message) (T, error) {
	if value, ok := m.Context().Value(valueKey{}).(T); ok {
		return value, nil
	}
	var value T
	err := tanagerwire.Decode(m.Payload, &value)
	return value, err
}

// ReturnedUnsent reports whether m is an outgoing message that the transport
// returned because it was never written to a connection.
func ReturnedUnsent(m *message.Message) bool { return m.Metadata.Get(tanagerpeer.UnsentKey) != "" }
