package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanageringress"
	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagerapi"
	"tanagersail.example/tanagerd/tanagerboot"
	"tanagersail.example/tanagerd/tanagercontrol"
	"tanagersail.example/tanagerd/tanagermember"
	"tanagersail.example/tanagerd/tanagermessage"
	"tanagersail.example/tanagerd/tanagermetric"
	"tanagersail.example/tanagerd/tanagersettings"
	"tanagersail.example/tanagerd/tanagertraffic"
)

// errorNamespace is the namespace of the program's errors.
var errorNamespace = errorx.NewNamespace("tanagerd")

// listenFailed means that the daemon cannot listen on an address of its
// settings.
var listenFailed = errorNamespace.NewType("listen_failed")

// Queue lengths in messages, and timeouts.
const (
	peerQueueLength  = 8192
	inboxLength      = 16384
	peerDialTimeout  = 500 * time.Millisecond
	peerWriteTimeout = 2 * time.Second
	vmCallTimeout    = 2 * time.Second
	tickInterval     = 50 * time.Millisecond
	drainTimeout     = 60 * time.Second
	shutdownTimeout  = 30 * time.Second
	headerTimeout    = 10 * time.Second
	idleTimeout      = 60 * time.Second
)

// daemon holds the components of a running daemon.
type daemon struct {
	settings  tanagersettings.Settings
	self      tanagermessage.Member
	log       zerolog.Logger
	timer     *tanagertimer.Real
	store     *tanagerstore.Client
	transport *tanagerpeer.Transport
	gate      *tanageringress.Gate
	directory *directory
	drained   chan struct{}
}

// serve runs the daemon until it receives SIGTERM or SIGINT and has shut down.
// It returns an error if the daemon cannot start.
func serve(s tanagersettings.Settings) error {
	d := newDaemon(s)
	return d.run()
}

func newDaemon(s tanagersettings.Settings) *daemon {
	timer := tanagertimer.NewReal()
	d := &daemon{
		settings: s,
		self: tanagermessage.Member{
			ID:            s.Daemon.Name + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")[:8],
			Peer:          s.Daemon.PeerAddress,
			HTTP:          s.Daemon.HTTPAddress,
			FailureDomain: s.Daemon.FailureDomain,
			Region:        s.Daemon.Region,
		},
		timer: timer,
		gate: tanageringress.New(
			tanageringress.NewLimits(s.Limits.MemoryMB<<20, s.Limits.MaxFiles, s.Limits.MaxHeaderBytes), timer),
		directory: newDirectory(),
		drained:   make(chan struct{}),
	}
	d.log = newLogger(s.Log.Level, d.self.ID)
	d.store = tanagerstore.NewClient(tanagerstore.Settings{
		Address:         s.Platform.Store,
		Caller:          s.Daemon.Name,
		CallTimeout:     s.Store.CallTimeout,
		WritesPerSecond: s.Store.WritesPerSecond,
		ReadsPerSecond:  s.Store.ReadsPerSecond,
	}, timer)
	d.transport = tanagerpeer.New(tanagerpeer.Settings{
		Self:         d.self.ID,
		Token:        s.Daemon.PeerToken,
		QueueLength:  peerQueueLength,
		InboxLength:  inboxLength,
		DialTimeout:  peerDialTimeout,
		WriteTimeout: peerWriteTimeout,
	}, d.directory)
	return d
}

// newLogger returns a logger that writes one line of key=value pairs for each
// event to standard error. The level is info if it is invalid.
func newLogger(level, self string) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(newKeyValueWriter(os.Stderr)).Level(l).With().Timestamp().Str("daemon", self).Logger()
}

func (d *daemon) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	debug.SetMemoryLimit(tanagerboot.SoftMemoryLimit(d.settings.Limits.MemoryMB))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

	waiters := tanagertraffic.NewWaiters()
	platform := tanagerplatform.NewClient(tanagerplatform.Settings{
		CallTimeout: vmCallTimeout,
	})
	burnRecorder := tanagerburn.NewRecorder(tanagerburn.DefaultObjectives())
	control := d.newControl(burnRecorder, waiters, platform)
	api := d.newAPI(burnRecorder, waiters)
	metrics, err := tanagermetric.New(api)
	if err != nil {
		return err
	}
	apiListener, err := d.gate.Listen(d.settings.Daemon.HTTPAddress)
	if err != nil {
		return err
	}
	apiServer := newServer(api.Handler(metrics))
	d.gate.Configure(apiServer)
	peerServer := newServer(api.PeerHandler())
	peerListener, err := listen(d.settings.Daemon.PeerListen)
	if err != nil {
		return err
	}
	serveInBackground(apiServer, apiListener)
	serveInBackground(peerServer, peerListener)
	go tanagerboot.ReportClients(ctx, d.gate, d.timer, d.log)

	messages, err := d.transport.Subscribe(ctx, tanagerpeer.AllTopics)
	if err != nil {
		return err
	}
	go control.Run(ctx, messages)
	membership := tanagermember.New(tanagermember.Settings{
		Self:          d.self,
		LeaseTTL:      d.settings.Store.LeaseTTL,
		WatchTimeout:  d.settings.Store.LeaseTTL / 2,
		VMListAddress: d.settings.Platform.VMList,
	}, tanagermember.Dependencies{
		Timer:    d.timer,
		Store:    d.store,
		Platform: platform,
		Inbox:    d.transport,
		Log:      d.log,
	})
	go membership.MaintainLease(ctx)
	go membership.WatchStore(ctx)
	go membership.WatchVMs(ctx)
	d.log.Info().Str("event", "started").Stringer("http", d.self.HTTP).Stringer("peer", d.self.Peer).Send()

	<-signals
	d.log.Info().Str("event", "stopping").Send()
	api.Drain()
	d.drain()
	d.shutDown(apiServer)
	membership.Leave(ctx)
	cancel()
	d.shutDown(peerServer)
	_ = d.transport.Close()
	d.log.Info().Str("event", "stopped").Send()
	return nil
}

// drain hands over the shards and waits until all are handed over, or until
// drainTimeout.
func (d *daemon) drain() {
	d.transport.Deliver(tanagermessage.TopicDrain, tanagermessage.Local(struct{}{}))
	timer := d.timer.After(drainTimeout)
	defer timer.Stop()
	select {
	case <-d.drained:
	case <-timer.C:
		d.log.Warn().Str("event", "drain_incomplete").Send()
	}
}

// shutDown stops a server after its calls in flight have completed, or after
// shutdownTimeout.
func (d *daemon) shutDown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		d.log.Warn().Str("event", "shutdown_incomplete").Err(err).Send()
	}
}

func (d *daemon) newControl(burnRecorder *tanagerburn.Recorder, waiters *tanagertraffic.Waiters,
	platform *tanagerplatform.Client) *tanagercontrol.Control {
	var once sync.Once
	executor := tanagertraffic.New(tanagertraffic.Dependencies{
		Self:      d.self.ID,
		Timer:     d.timer,
		Inbox:     d.transport,
		Store:     d.store,
		Targets:   platform,
		Workers:   platform,
		Waiters:   waiters,
		OnDrained: func() { once.Do(func() { close(d.drained) }) },
	})
	cell := d.settings.Cell
	return tanagercontrol.New(tanagercontrol.Settings{
		Self:   d.self,
		Shards: cell.Shards,
		StoreLease: tanagerlease.StoreLeaseSettings{
			TTL:         d.settings.Store.LeaseTTL,
			DriftMargin: time.Duration(float64(d.settings.Store.LeaseTTL) * cell.ClockDrift * 2),
		},
		Promise: tanagerlease.PromiseSettings{
			Duration:    cell.PromiseDuration,
			DriftMargin: time.Duration(float64(cell.PromiseDuration) * cell.ClockDrift * 2),
		},
		Queue: tanagerqueue.Settings{
			MaxClassLength: d.settings.Queue.MaxClassLength,
			MaxLength:      d.settings.Queue.MaxLength,
			InitialCost:    d.settings.Queue.InitialCost,
			MinRetryAfter:  d.settings.Queue.MinRetryAfter,
			MaxRetryAfter:  d.settings.Queue.MaxRetryAfter,
		},
		TaskLease:         cell.TaskLeaseTTL,
		ClockDrift:        cell.ClockDrift,
		MaxListLag:        cell.MaxListLag,
		MaxRequestTimeout: cell.MaxRequestTimeout,
		RequestIDWindow:   cell.RequestIDWindow,
		Tick:              tickInterval,
	}, tanagercontrol.Dependencies{
		Timer:        d.timer,
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Peers:        d.transport,
		Effects:      executor,
		Directory:    d.directory,
		BurnRecorder: burnRecorder,
		Log:          d.log,
		WallClock:    time.Now,
	})
}

func (d *daemon) newAPI(burnRecorder *tanagerburn.Recorder, waiters *tanagertraffic.Waiters) *tanagerapi.API {
	return tanagerapi.New(tanagerapi.Settings{
		Self:              d.self.ID,
		Callers:           d.settings.Callers,
		Operators:         d.settings.Operators,
		MaxRequestTimeout: d.settings.Cell.MaxRequestTimeout,
	}, tanagerapi.Dependencies{
		Timer:        d.timer,
		WallClock:    time.Now,
		Inbox:        d.transport,
		Waiters:      waiters,
		Store:        d.store,
		StoreCalls:   d.store.CallCounts,
		Peers:        d.transport,
		BurnRecorder: burnRecorder,
		Clients:      d.gate.Usage,
		Log:          d.log,
	})
}

// listen listens on an address. The type of its error is listenFailed.
func listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, listenFailed.Wrap(err, "address %s", address)
	}
	return listener, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// serveInBackground ignores the error: Serve returns one whenever the server is shut
// down.
func serveInBackground(s *http.Server, l net.Listener) { go func() { _ = s.Serve(l) }() }
