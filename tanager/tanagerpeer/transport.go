package tanagerpeer

import (
	"context"
	"crypto/subtle"
	"net"
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

// The types of error of this package. Those that Publish returns all mean that
// the message was certainly not sent.
var (
	QueueFull   = Errors.NewType("queue_full", errorx.Temporary())
	UnknownPeer = Errors.NewType("unknown_peer")
	Closed      = Errors.NewType("closed")
	// OnlyAllTopics means that Subscribe was called with a topic other than
	// AllTopics.
	OnlyAllTopics = Errors.NewType("only_all_topics")
)

// The metadata keys of messages.
const (
	TopicKey  = "topic"
	FromKey   = "from"
	ToKey     = "to"
	UnsentKey = "unsent"
	// PeerExitedKey is set on a message of topic ConnectionLostTopic if the peer's
	// process has certainly exited: its port refuses connections, or another
	// process listens there.
	PeerExitedKey = "gone"
)

// AllTopics is the topic to subscribe to: all messages arrive on one channel,
// those of each sender in the order in which it sent them.
const AllTopics = "*"

// ConnectionLostTopic is the topic of the message that reports a broken
// connection. Its FromKey names the peer.
const ConnectionLostTopic = "peer.lost"

// Path is the HTTP path at which ServeHTTP is mounted.
const Path = "/v1/peer"

const (
	senderHeader    = "Tanager-Member"
	recipientHeader = "Tanager-To"
	// maxFrameBytes bounds the size of a received frame.
	maxFrameBytes = 4 << 20
)

// Settings configures a Transport. All fields but Dial are required.
type Settings struct {
	// Self is this process's name, unique across restarts.
	Self string
	// Token is the bearer token that all daemons share.
	Token string
	// QueueLength bounds the messages queued for one peer.
	QueueLength int
	// InboxLength bounds the messages queued for the subscriber.
	InboxLength int
	// DialTimeout and WriteTimeout bound opening a connection and writing one
	// message.
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	// Dial opens connections to peers; nil is the system's network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Directory resolves the names of daemons to addresses.
type Directory interface {
	// Address returns the address at which a daemon listens for peers, and
	// whether it is known.
	Address(member string) (netip.AddrPort, bool)
}

// Transport implements message.Publisher and message.Subscriber. It is safe for
// concurrent use.
type Transport struct {
	settings      Settings
	directory     Directory
	inbox         chan *message.Message
	client        *http.Client
	ctx           context.Context
	cancel        context.CancelFunc
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64

	mu    sync.Mutex
	links map[string]*link
}

var (
	_ message.Publisher  = (*Transport)(nil)
	_ message.Subscriber = (*Transport)(nil)
)

// frame is the CBOR encoding of a message.
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
			Transport: &http.Transport{DialContext: s.Dial},
		},
		ctx:    ctx,
		cancel: cancel,
		links:  make(map[string]*link),
	}
}

// FrameBytes returns the total size in bytes of the frames sent and received so
// far.
func (t *Transport) FrameBytes() (sent, received uint64) {
	return t.sentBytes.Load(), t.receivedBytes.Load()
}

// Publish queues messages for the peers that their ToKey names. It returns
// QueueFull, UnknownPeer or Closed; on error the rejected message and those after
// it were not sent.
func (t *Transport) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		m.Metadata.Set(TopicKey, topic)
		if err := t.send(m); err != nil {
			return err
		}
	}
	return nil
}

func (t *Transport) send(m *message.Message) error {
	to := m.Metadata.Get(ToKey)
	if to == t.settings.Self {
		m.Metadata.Set(FromKey, to)
		t.deliver(m)
		return nil
	}
	l, err := t.linkTo(to)
	if err != nil {
		return err
	}
	return l.enqueue(m)
}

// linkTo returns the link to a peer, opening one if there is none.
func (t *Transport) linkTo(to string) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[to]; l != nil {
		return l, nil
	}
	address, ok := t.directory.Address(to)
	if !ok {
		return nil, UnknownPeer.New("peer %s", to)
	}
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		transport: t,
		peer:      to,
		address:   address,
		queue:     make(chan *message.Message, t.settings.QueueLength),
		ctx:       ctx,
		cancel:    cancel,
	}
	t.links[to] = l
	go l.run()
	return l, nil
}

// CloseConnection closes the connection to a peer, so that the next message opens
// a new one. It is meant for connections that are stalled without an error.
func (t *Transport) CloseConnection(to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[to]; l != nil {
		delete(t.links, to)
		l.cancel()
	}
}

// removeLink removes a link so that the next message opens a new one.
func (t *Transport) removeLink(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.peer] == l {
		delete(t.links, l.peer)
	}
}

// deliver passes a message to the subscriber and blocks while the inbox is full.
func (t *Transport) deliver(m *message.Message) {
	select {
	case t.inbox <- m:
	case <-t.ctx.Done():
	}
}

// Deliver passes a message of this process to the subscriber and blocks while the
// inbox is full. The subscriber itself must not call it, because it would deadlock
// on a full inbox.
func (t *Transport) Deliver(topic string, m *message.Message) {
	m.Metadata.Set(TopicKey, topic)
	m.Metadata.Set(FromKey, t.settings.Self)
	t.deliver(m)
}

// TryDeliver passes a message of this process to the subscriber. If the inbox is
// full it returns false without blocking.
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

// Subscribe returns the channel of all messages. The topic must be AllTopics;
// otherwise it returns OnlyAllTopics. Only one subscriber is supported. Messages
// need not be acknowledged.
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

// ServeHTTP accepts the connection of a peer and delivers its messages. It responds
// with status 401 to a wrong token and with 409 if the peer wants to reach another
// process, such as an earlier one at the same address.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := "Bearer " + t.settings.Token
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(token)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if r.Header.Get(recipientHeader) != t.settings.Self {
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
	t.receive(connection, r.Header.Get(senderHeader))
}

func (t *Transport) receive(connection *websocket.Conn, from string) {
	for {
		_, data, err := connection.Read(t.ctx)
		if err != nil {
			return
		}
		t.receivedBytes.Add(uint64(len(data)))
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
