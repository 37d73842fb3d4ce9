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

// book is a directory that never changes.
type book map[string]netip.AddrPort

// Address implements Directory.
func (b book) Address(member string) (netip.AddrPort, bool) {
	a, ok := b[member]
	return a, ok
}

func newTransport(c *qt.C, self, token string, b book) (*Transport, <-chan *message.Message) {
	t := New(Settings{
		Self:         self,
		Token:        token,
		QueueLength:  4,
		InboxLength:  64,
		DialTimeout:  5 * time.Second,
		WriteTimeout: 5 * time.Second,
	}, b)
	c.Cleanup(func() { _ = t.Close() })
	inbox, err := t.Subscribe(context.Background(), AllTopics)
	c.Assert(err, qt.IsNil)
	return t, inbox
}

func serve(c *qt.C, t *Transport) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(t.ServeHTTP))
	c.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func to(member, payload string) *message.Message {
	m := message.NewMessage("", []byte(payload))
	m.Metadata.Set(ToKey, member)
	return m
}

func TestMessagesArriveInOrderWithTheirSender(t *testing.T) {
	c := qt.New(t)
	b := book{}
	second, inbox := newTransport(c, "d2", "token", b)
	b["d2"] = serve(c, second)
	first, own := newTransport(c, "d1", "token", b)
	for _, payload := range []string{"a", "b", "c"} {
		c.Assert(first.Publish("topic", to("d2", payload)), qt.IsNil)
	}
	for _, want := range []string{"a", "b", "c"} {
		m := <-inbox
		c.Check(string(m.Payload), qt.Equals, want)
		c.Check(m.Metadata.Get(FromKey), qt.Equals, "d1")
		c.Check(m.Metadata.Get(TopicKey), qt.Equals, "topic")
	}
	c.Assert(first.Publish("topic", to("d1", "to itself")), qt.IsNil)
	c.Assert(string((<-own).Payload), qt.Equals, "to itself")
	sent, _ := first.Bytes()
	_, received := second.Bytes()
	c.Assert(sent, qt.Equals, received)
}

// TestUnsentMessagesComeBack sends to a daemon with another token, to an earlier
// process at the same address and to an address where nobody listens.
func TestUnsentMessagesComeBack(t *testing.T) {
	c := qt.New(t)
	other, _ := newTransport(c, "d2", "another token", nil)
	address := serve(c, other)
	closed := httptest.NewServer(nil)
	nobody := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	first, inbox := newTransport(c, "d1", "token", book{
		"d2":         address,
		"d2-earlier": address,
		"d3":         nobody,
	})
	for _, member := range []string{"d2", "d2-earlier", "d3"} {
		c.Assert(first.Publish("topic", to(member, "lost")), qt.IsNil)
		m := <-inbox
		c.Check(m.Metadata.Get(UnsentKey), qt.Equals, "true")
		c.Check(string(m.Payload), qt.Equals, "lost")
		c.Check(m.Metadata.Get(FromKey), qt.Equals, member)
		c.Check((<-inbox).Metadata.Get(TopicKey), qt.Equals, LostTopic)
	}
	err := first.Publish("topic", to("nobody", "x"))
	c.Assert(errorx.IsOfType(err, UnknownPeer), qt.IsTrue)
}

func TestBrokenConnectionIsReported(t *testing.T) {
	c := qt.New(t)
	b := book{}
	second, inbox := newTransport(c, "d2", "token", b)
	b["d2"] = serve(c, second)
	first, own := newTransport(c, "d1", "token", b)
	c.Assert(first.Publish("topic", to("d2", "a")), qt.IsNil)
	<-inbox
	c.Assert(second.Close(), qt.IsNil)
	m := <-own
	c.Assert(m.Metadata.Get(TopicKey), qt.Equals, LostTopic)
	c.Assert(m.Metadata.Get(FromKey), qt.Equals, "d2")
}
