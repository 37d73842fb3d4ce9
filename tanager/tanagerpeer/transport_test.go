package tanagerpeer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

// staticDirectory is a Directory with fixed entries.
type staticDirectory map[string]netip.AddrPort

// Address implements Directory.
func (d staticDirectory) Address(member string) (netip.AddrPort, bool) {
	a, ok := d[member]
	return a, ok
}

func newTransport(c *qt.C, self, token string, directory staticDirectory) (*Transport, <-chan *message.Message) {
	t := New(Settings{
		Self:         self,
		Token:        token,
		QueueLength:  4,
		InboxLength:  64,
		DialTimeout:  5 * time.Second,
		WriteTimeout: 5 * time.Second,
	}, directory)
	c.Cleanup(func() { _ = t.Close() })
	inbox, err := t.Subscribe(context.Background(), AllTopics)
	c.Assert(err, qt.IsNil)
	return t, inbox
}

func startServer(c *qt.C, t *Transport) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(t.ServeHTTP))
	c.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func newMessage(member, payload string) *message.Message {
	m := message.NewMessage("", []byte(payload))
	m.Metadata.Set(ToKey, member)
	return m
}

func TestMessagesArriveInOrder(t *testing.T) {
	c := qt.New(t)
	directory := staticDirectory{}
	receiver, receiverInbox := newTransport(c, "d2", "token", directory)
	directory["d2"] = startServer(c, receiver)
	sender, senderInbox := newTransport(c, "d1", "token", directory)
	for _, payload := range []string{"a", "b", "c"} {
		c.Assert(sender.Publish("topic", newMessage("d2", payload)), qt.IsNil)
	}
	for _, want := range []string{"a", "b", "c"} {
		m := <-receiverInbox
		c.Check(string(m.Payload), qt.Equals, want)
		c.Check(m.Metadata.Get(FromKey), qt.Equals, "d1")
		c.Check(m.Metadata.Get(TopicKey), qt.Equals, "topic")
	}
	c.Assert(sender.Publish("topic", newMessage("d1", "to itself")), qt.IsNil)
	c.Assert(string((<-senderInbox).Payload), qt.Equals, "to itself")
	sent, _ := sender.FrameBytes()
	_, received := receiver.FrameBytes()
	c.Assert(sent, qt.Equals, received)
}

// TestUnsentMessagesAreReturned sends to a daemon with another token, to an earlier
// process at the same address and to an address without a listener. A message that
// is not returned as unsent would end with an unknown outcome.
func TestUnsentMessagesAreReturned(t *testing.T) {
	c := qt.New(t)
	otherToken, _ := newTransport(c, "d2", "another token", nil)
	address := startServer(c, otherToken)
	closed := httptest.NewServer(nil)
	noListener := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	sender, inbox := newTransport(c, "d1", "token", staticDirectory{
		"d2":         address,
		"d2-earlier": address,
		"d3":         noListener,
	})
	for _, member := range []string{"d2", "d2-earlier", "d3"} {
		c.Assert(sender.Publish("topic", newMessage(member, "unsent")), qt.IsNil)
		m := <-inbox
		c.Check(m.Metadata.Get(UnsentKey), qt.Equals, "true")
		c.Check(string(m.Payload), qt.Equals, "unsent")
		c.Check(m.Metadata.Get(FromKey), qt.Equals, member)
		c.Check((<-inbox).Metadata.Get(TopicKey), qt.Equals, ConnectionLostTopic)
	}
	err := sender.Publish("topic", newMessage("unknown", "x"))
	c.Assert(errorx.IsOfType(err, UnknownPeer), qt.IsTrue)
}

func TestBrokenConnectionIsReported(t *testing.T) {
	c := qt.New(t)
	directory := staticDirectory{}
	receiver, receiverInbox := newTransport(c, "d2", "token", directory)
	directory["d2"] = startServer(c, receiver)
	sender, senderInbox := newTransport(c, "d1", "token", directory)
	c.Assert(sender.Publish("topic", newMessage("d2", "a")), qt.IsNil)
	<-receiverInbox
	c.Assert(receiver.Close(), qt.IsNil)
	m := <-senderInbox
	c.Assert(m.Metadata.Get(TopicKey), qt.Equals, ConnectionLostTopic)
	c.Assert(m.Metadata.Get(FromKey), qt.Equals, "d2")
}
