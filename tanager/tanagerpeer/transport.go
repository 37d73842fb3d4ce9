package tanagerpeer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/coder/websocket"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerwire"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerpeer")

// The types of error that Publish returns. All mean that the message was
// certainly not sent.
var (
	QueueFull   = Errors.NewType("queue_full", errorx.Temporary())
	UnknownPeer = Errors.NewType("unknown_peer")
	Closed      = Errors.NewType("closed")
	// OnlyAllTopics means that Subscribe was called for a single topic.
	OnlyAllTopics = Errors.NewType("only_all_topics")
)

// The metadata keys of messages.
const (
	TopicKey  = "topic"
	FromKey   = "from"
	ToKey     = "to"
	UnsentKey = "unsent"
	// GoneKey is set on a LostTopic message if the peer's process has certainly
	// ended: its port refuses, or another process answers there.
	GoneKey = "gone"
)

// AllTopics is the topic to subscribe to: all messages arrive on one channel,
// in the order of each sender.
const AllTopics = "*"

// LostTopic is the topic of the message that tells of a broken connection. Its
// FromKey names the peer.
const LostTopic = "peer.lost"

// Path is where Handler expects to be mounted.
const Path = "/v1/peer"

const (
	memberHeader = "Tanager-Member"
	toHeader     = "Tanager-To"
	// maxFrameBytes bounds one message.
	maxFrameBytes = 4 << 20
)

// Settings of a Transport. All fields are required.
type Settings struct {
	// Self names this process uniquely across restarts.
	Self string
	// Token is shared by all daemons.
	Token string
	// QueueLength bounds the messages that wait for one peer.
	QueueLength int
	// InboxLength bounds the messages that wait for the subscriber.
	InboxLength int
	// DialTimeout and WriteTimeout bound the operations on a connection.
	DialTimeout  time.Duration
	WriteTimeout time.Duration
}

// Directory finds the addresses of daemons.
type Directory interface {
	// Address returns where a daemon listens for its peers.
	Address(member string) (netip.AddrPort, bool)
}

// Transport implements message.Publisher and message.Subscriber. It is safe for
// concurrent use.
type Transport struct {
	settings  Settings
	directory Directory
	inbox     chan *message.Message
	client    *http.Client
	ctx       context.Context
	cancel    context.CancelFunc
	sent      atomic.Uint64
	received  atomic.Uint64

	mu    sync.Mutex
	links map[string]*link
}

var (
	_ message.Publisher  = (*Transport)(nil)
	_ message.Subscriber = (*Transport)(nil)
)

type frame struct {
	Topic   string `json:"topic"`
	Payload []byte `json:"payload"`
}

// New returns a transport without connections.
func New(s Settings, d Directory) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		settings:  s,
		directory: d,
		inbox:     make(chan *message.Message, s.InboxLength),
		client: &http.Client{
			Transport: &http.Transport{},
		},
		ctx:    ctx,
		cancel: cancel,
		links:  make(map[string]*link),
	}
}

// Bytes returns the bytes of the frames sent and received so far.
func (t *Transport) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Publish queues messages for the peers that their ToKey names. On error the
// message and those after it were not sent.
func (t *Transport) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		m.Metadata.Set(TopicKey, topic)
		if err := t.publish(m); err != nil {
			return err
		}
	}
	return nil
}

func (t *Transport) publish(m *message.Message) error {
	to := m.Metadata.Get(ToKey)
	if to == t.settings.Self {
		m.Metadata.Set(FromKey, to)
		t.deliver(m)
		return nil
	}
	l, err := t.link(to)
	if err != nil {
		return err
	}
	return l.enqueue(m)
}

// link returns the link to a peer, opening one if there is none.
func (t *Transport) link(to string) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[to]; l != nil {
		return l, nil
	}
	address, ok := t.directory.Address(to)
	if !ok {
		return nil, UnknownPeer.New("peer %s", to)
	}
	ctx, abandon := context.WithCancel(t.ctx)
	l := &link{
		transport: t,
		to:        to,
		address:   address,
		queue:     make(chan *message.Message, t.settings.QueueLength),
		ctx:       ctx,
		abandon:   abandon,
	}
	t.links[to] = l
	go l.run()
	return l, nil
}

// Reset closes the connection to a peer, so that the next message opens a new
// one. It is for connections that have gone silent without an error.
func (t *Transport) Reset(to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[to]; l != nil {
		delete(t.links, to)
		l.abandon()
	}
}

// drop removes a link so that the next message opens a new one.
func (t *Transport) drop(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.to] == l {
		delete(t.links, l.to)
	}
}

// deliver hands a message to the subscriber and waits while its inbox is full.
func (t *Transport) deliver(m *message.Message) {
	select {
	case t.inbox <- m:
	case <-t.ctx.Done():
	}
}

// Deliver hands a message of this process to the subscriber and waits while its
// inbox is full. The subscriber itself must not call it.
func (t *Transport) Deliver(topic string, m *message.Message) {
	m.Metadata.Set(TopicKey, topic)
	m.Metadata.Set(FromKey, t.settings.Self)
	t.deliver(m)
}

// TryDeliver hands a message of this process to the subscriber and reports
// false, without waiting, if the inbox is full.
func (t *Transport) TryDeliver(topic string, m *message.Message) bool {
	m.Metadata.Set(TopicKey, topic)
	m.Metadata.Set(FromKey, t.settings.Self)
	select {
	case t.inbox <- m:
		return true
	default:
		return false
	}
}

// Subscribe returns the channel of all messages. The topic must be AllTopics,
// and there is one subscriber. Messages need not be acknowledged.
func (t *Transport) Subscribe(_ context.Context, topic string) (<-chan *message.Message, error) {
	if topic != AllTopics {
		return nil, OnlyAllTopics.New("topic %s", topic)
	}
	return t.inbox, nil
}

// Close ends all connections.
func (t *Transport) Close() error {
	t.cancel()
	return nil
}

// ServeHTTP accepts the connection of a peer and delivers its messages.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := "Bearer " + t.settings.Token
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(token)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if r.Header.Get(toHeader) != t.settings.Self {
		w.WriteHeader(http.StatusConflict)
		return
	}
	connection, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return
	}
	connection.SetReadLimit(maxFrameBytes)
	defer connection.CloseNow()
	t.receive(connection, r.Header.Get(memberHeader))
}

func (t *Transport) receive(connection *websocket.Conn, from string) {
	for {
		_, data, err := connection.Read(t.ctx)
		if err != nil {
			return
		}
		t.received.Add(uint64(len(data)))
		var f frame
		if tanagerwire.Decode(data, &f) != nil {
			return
		}
		m := message.NewMessage("", f.Payload)
		m.Metadata.Set(TopicKey, f.Topic)
		m.Metadata.Set(FromKey, from)
		t.deliver(m)
	}
}
