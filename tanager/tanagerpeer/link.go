package tanagerpeer

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"syscall"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/coder/websocket"

	"tanagersail.example/tanager/tanagerwire"
)

// link is the outgoing connection to one peer. It lives until its connection
// fails.
type link struct {
	transport *Transport
	to        string
	address   netip.AddrPort
	queue     chan *message.Message
	// ctx ends when the link is abandoned or its transport closed.
	ctx     context.Context
	abandon context.CancelFunc

	mu     sync.Mutex
	closed bool
}

// enqueue queues a message. It returns QueueFull, or Closed if the link has
// ended.
func (l *link) enqueue(m *message.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return Closed.New("link to %s", l.to)
	}
	select {
	case l.queue <- m:
		return nil
	default:
		return QueueFull.New("peer %s", l.to)
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

func (l *link) run() {
	defer l.abandon()
	connection, gone, err := l.dial()
	if err == nil {
		l.serve(connection)
	}
	l.transport.drop(l)
	l.close()
	l.returnUnsent()
	l.reportLost(gone)
}

// dial opens the connection. It also reports whether the peer's process has
// certainly ended.
func (l *link) dial() (connection *websocket.Conn, gone bool, err error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.settings.DialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set("Authorization", "Bearer "+l.transport.settings.Token)
	header.Set(memberHeader, l.transport.settings.Self)
	header.Set(toHeader, l.to)
	connection, response, err := websocket.Dial(ctx, "ws://"+l.address.String()+Path, &websocket.DialOptions{
		HTTPClient:      l.transport.client,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		defer response.Body.Close()
	}
	gone = errors.Is(err, syscall.ECONNREFUSED) || response != nil && response.StatusCode == http.StatusConflict
	return connection, gone, err
}

// serve writes queued messages until the connection fails.
func (l *link) serve(connection *websocket.Conn) {
	defer connection.CloseNow()
	broken := connection.CloseRead(l.ctx)
	for {
		select {
		case m := <-l.queue:
			if l.write(connection, m) != nil {
				return
			}
		case <-broken.Done():
			return
		}
	}
}

func (l *link) write(connection *websocket.Conn, m *message.Message) error {
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.settings.WriteTimeout)
	defer cancel()
	data := tanagerwire.Encode(frame{
		Topic:   m.Metadata.Get(TopicKey),
		Payload: m.Payload,
	})
	l.transport.sent.Add(uint64(len(data)))
	return connection.Write(ctx, websocket.MessageBinary, data)
}

// returnUnsent hands the messages back that were never written.
func (l *link) returnUnsent() {
	for {
		select {
		case m := <-l.queue:
			m.Metadata.Set(FromKey, l.to)
			m.Metadata.Set(UnsentKey, "true")
			l.transport.deliver(m)
		default:
			return
		}
	}
}

func (l *link) reportLost(gone bool) {
	m := message.NewMessage("", nil)
	if gone {
		m.Metadata.Set(GoneKey, "true")
	}
	m.Metadata.Set(TopicKey, LostTopic)
	m.Metadata.Set(FromKey, l.to)
	l.transport.deliver(m)
}
