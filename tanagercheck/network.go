package tanagercheck

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	relayBufferBytes  = 32 << 10
	relayQueueLength  = 1024
	acceptQueueLength = 16
	cutRetryInterval  = 50 * time.Millisecond
)

// network connects the daemons. What is sent over a connection that is cut arrives
// once it is not cut any more.
type network struct {
	world *world

	mu        sync.Mutex
	listeners map[int]*listener
	// connections are those of each machine.
	connections map[int][]net.Conn
}

func newNetwork(w *world) *network {
	return &network{
		world:       w,
		listeners:   make(map[int]*listener),
		connections: make(map[int][]net.Conn),
	}
}

// listener implements net.Listener.
type listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(machine int) net.Listener {
	l := &listener{
		accepted: make(chan net.Conn, acceptQueueLength),
		closed:   make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[machine] = l
	return l
}

// drop closes all that a machine has open.
func (n *network) drop(machine int) {
	n.mu.Lock()
	connections := n.connections[machine]
	delete(n.connections, machine)
	delete(n.listeners, machine)
	n.mu.Unlock()
	for _, c := range connections {
		_ = c.Close()
	}
}

// dial opens a connection to another machine.
func (m *machine) dial(ctx context.Context, _, address string) (net.Conn, error) {
	w := m.world
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	to := int(parsed.Addr().As4()[3]) - 1
	r := w.random(m.name + " dial " + address)
	for w.peersCut(m.index, to) {
		select {
		case <-time.After(cutRetryInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-w.done:
			return nil, net.ErrClosed
		}
	}
	w.sleep(latency(r))
	return w.network.connect(m.index, to, r)
}

func (n *network) connect(from, to int, r *rand.Rand) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	refused := &net.OpError{
		Op:  "dial",
		Net: "tcp",
		Err: syscall.ECONNREFUSED,
	}
	if l == nil {
		return nil, refused
	}
	client, near := net.Pipe()
	far, server := net.Pipe()
	select {
	case l.accepted <- server:
	default:
		return nil, refused
	}
	n.connections[from] = append(n.connections[from], client, near)
	n.connections[to] = append(n.connections[to], far, server)
	delay := latency(r)
	n.world.spawn(func() { n.relay(near, far, from, to, delay) })
	n.world.spawn(func() { n.relay(far, near, from, to, delay) })
	return client, nil
}

// chunk is a part of what was sent and the time at which it arrives.
type chunk struct {
	data []byte
	at   time.Duration
}

// relay passes on what source receives until one side closes.
func (n *network) relay(source, destination net.Conn, a, b int, delay time.Duration) {
	w := n.world
	chunks := make(chan chunk, relayQueueLength)
	w.spawn(func() {
		defer close(chunks)
		for {
			buffer := make([]byte, relayBufferBytes)
			k, err := source.Read(buffer)
			if err != nil {
				return
			}
			select {
			case chunks <- chunk{
				data: buffer[:k],
				at:   w.now() + delay,
			}:
			case <-w.done:
				return
			}
		}
	})
	defer destination.Close()
	defer source.Close()
	for c := range chunks {
		if !w.sleep(max(c.at-w.now(), 0)) {
			return
		}
		for w.peersCut(a, b) {
			if !w.sleep(cutRetryInterval) {
				return
			}
		}
		if _, err := destination.Write(c.data); err != nil {
			return
		}
	}
	w.sleep(delay)
}
