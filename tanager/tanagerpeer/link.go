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

// link is the outgoing connection to one peer, with a queue of messages. It is
// removed when its connection fails.
type link struct {
	transport *Transport
	peer      string
	address   netip.AddrPort
	queue     chan *message.Message
	// ctx ends when the link is cancelled or its transport is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
}

// enqueue adds a message to the queue. It returns QueueFull, or Closed if the
// link has ended.
func (l *link) enqueue(m *message.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return Closed.New("link to %s", l.peer)
	}
	select {
	case l.queue <- m:
		return nil
	default:
		return QueueFull.New("peer %s", l.peer)
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// run connects and writes messages until the connection fails. It then returns
// the unsent messages and reports the lost connection.
func (l *link) run() {
	defer l.cancel()
	connection, peerExited, err := l.dial()
	if err == nil {
		l.writeMessages(connection)
	}
	l.transport.removeLink(l)
	l.close()
	l.returnUnsent()
	l.reportLost(peerExited)
}

// dial opens the connection. It also reports whether the peer's process has
// certainly exited.
func (l *link) dial() (connection *websocket.Conn, peerExited bool, err error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.settings.DialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set("Authorization", "Bearer "+l.transport.settings.Token)
	header.Set(senderHeader, l.transport.settings.Self)
	header.Set(recipientHeader, l.peer)
	connection, response, err := websocket.Dial(ctx, "ws://"+l.address.String()+Path, &websocket.DialOptions{
		HTTPClient:      l.transport.client,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		defer response.Body.Close()
	}
	peerExited = errors.Is(err, syscall.ECONNREFUSED) || response != nil && response.StatusCode == http.StatusConflict
	return connection, peerExited, err
}

// writeMessages writes queued messages until the connection fails.
func (l *link) writeMessages(connection *websocket.Conn) {
	defer connection.CloseNow()
	connectionCtx := connection.CloseRead(l.ctx)
	for {
		select {
		case m := <-l.queue:
			if l.writeFrame(connection, m) != nil {
				return
			}
		case <-connectionCtx.Done():
			return
		}
	}
}

func (l *link) writeFrame(connection *websocket.Conn, m *message.Message) error {
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.settings.WriteTimeout)
	defer cancel()
	data := tanagerwire.Encode(frame{
		Topic:   m.Metadata.Get(TopicKey),
		Payload: m.Payload,
	})
	l.transport.sentBytes.Add(uint64(len(data)))
	return connection.Write(ctx, websocket.MessageBinary, data)
}

// returnUnsent delivers the messages that were never written back to the local
// subscriber.
func (l *link) returnUnsent() {
	for {
		select {
		case m := <-l.queue:
			m.Metadata.Set(FromKey, l.peer)
			m.Metadata.Set(UnsentKey, "true")
			l.transport.deliver(m)
		default:
			return
		}
	}
}

// reportLost delivers the message of topic ConnectionLostTopic.
func (l *link) reportLost(peerExited bool) {
	m := message.NewMessage("", nil)
	if peerExited {
		m.Metadata.Set(PeerExitedKey, "true")
	}
	m.Metadata.Set(TopicKey, ConnectionLostTopic)
	m.Metadata.Set(FromKey, l.peer)
	l.transport.deliver(m)
}
