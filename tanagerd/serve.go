package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerlease"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerstore"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagerapi"
	"tanagersail.example/tanagerd/tanagercontrol"
	"tanagersail.example/tanagerd/tanagermember"
	"tanagersail.example/tanagerd/tanagermessage"
	"tanagersail.example/tanagerd/tanagermetric"
	"tanagersail.example/tanagerd/tanagersettings"
	"tanagersail.example/tanagerd/tanagertraffic"
)

// errors is the namespace of the program's errors.
var errors = errorx.NewNamespace("tanagerd")

// listenFailed means that an address of the settings can't be listened on.
var listenFailed = errors.NewType("listen_failed")

// The bounds of the daemon's parts.
const (
	peerQueueLength = 8192
	inboxLength     = 16384
	peerDialTimeout = 500 * time.Millisecond
	peerWriteLimit  = 2 * time.Second
	vmCallTimeout   = 2 * time.Second
	tickInterval    = 50 * time.Millisecond
	drainLimit      = 60 * time.Second
	shutdownLimit   = 30 * time.Second
)

// daemon holds the parts of a running daemon.
type daemon struct {
	settings  tanagersettings.Settings
	self      tanagermessage.Member
	log       zerolog.Logger
	timer     *tanagertimer.Real
	store     *tanagerstore.Client
	transport *tanagerpeer.Transport
	directory *directory
	drained   chan struct{}
}

// serve runs the daemon until it is told to stop.
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
		timer:     timer,
		directory: newDirectory(),
		drained:   make(chan struct{}),
	}
	d.log = newLog(s.Log.Level, d.self.ID)
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
		WriteTimeout: peerWriteLimit,
	}, d.directory)
	return d
}

// newLog returns a log that writes one line of key=value pairs for each event.
func newLog(level, self string) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(newPairWriter(os.Stderr)).Level(l).With().Timestamp().Str("daemon", self).Logger()
}

func (d *daemon) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)

	waiters := tanagertraffic.NewWaiters()
	platform := tanagerplatform.NewClient(tanagerplatform.Settings{
		CallTimeout: vmCallTimeout,
	})
	burn := tanagerburn.NewLedger(tanagerburn.DefaultObjectives())
	control := d.newControl(burn, waiters, platform)
	api := d.newAPI(burn, waiters)
	metrics, err := tanagermetric.New(api)
	if err != nil {
		return err
	}
	public, err := listen(d.settings.Daemon.HTTPAddress, api.Handler(metrics))
	if err != nil {
		return err
	}
	peers, err := listen(d.settings.Daemon.PeerListen, api.PeerHandler())
	if err != nil {
		return err
	}

	messages, err := d.transport.Subscribe(ctx, tanagerpeer.AllTopics)
	if err != nil {
		return err
	}
	go control.Run(ctx, messages)
	keeper := tanagermember.New(tanagermember.Settings{
		Self:      d.self,
		TTL:       d.settings.Store.Lease,
		WatchWait: d.settings.Store.Lease / 2,
		List:      d.settings.Platform.VMList,
	}, tanagermember.Dependencies{
		Timer:    d.timer,
		Store:    d.store,
		Platform: platform,
		Inbox:    d.transport,
		Log:      d.log,
	})
	go keeper.KeepLease(ctx)
	go keeper.WatchStore(ctx)
	go keeper.WatchVMs(ctx)
	d.log.Info().Str("event", "started").Stringer("http", d.self.HTTP).Stringer("peer", d.self.Peer).Send()

	<-stop
	d.log.Info().Str("event", "stopping").Send()
	api.Drain()
	d.awaitDrained()
	d.shutDown(public)
	keeper.Leave(ctx)
	cancel()
	d.shutDown(peers)
	_ = d.transport.Close()
	d.log.Info().Str("event", "stopped").Send()
	return nil
}

// awaitDrained hands the shards over and waits until nothing is left, for the
// drain limit at most.
func (d *daemon) awaitDrained() {
	d.transport.Deliver(tanagermessage.TopicDrain, tanagermessage.Local(struct{}{}))
	limit := d.timer.After(drainLimit)
	defer limit.Stop()
	select {
	case <-d.drained:
	case <-limit.C:
		d.log.Warn().Str("event", "drain_incomplete").Send()
	}
}

// shutDown stops a server once its calls are answered.
func (d *daemon) shutDown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		d.log.Warn().Str("event", "shutdown_incomplete").Err(err).Send()
	}
}

func (d *daemon) newControl(burn *tanagerburn.Ledger, waiters *tanagertraffic.Waiters, platform *tanagerplatform.Client) *tanagercontrol.Control {
	var once sync.Once
	traffic := tanagertraffic.New(tanagertraffic.Dependencies{
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
		Right: tanagerlease.RightSettings{
			TTL:    d.settings.Store.Lease,
			Margin: time.Duration(float64(d.settings.Store.Lease) * cell.ClockDrift * 2),
		},
		Promise: tanagerlease.PromiseSettings{
			Length: cell.Promise,
			Margin: time.Duration(float64(cell.Promise) * cell.ClockDrift * 2),
		},
		Queue: tanagerqueue.Settings{
			BranchLength: d.settings.Queue.BranchLength,
			TotalLength:  d.settings.Queue.TotalLength,
			FirstCost:    d.settings.Queue.FirstCost,
			RetryFloor:   d.settings.Queue.RetryFloor,
			RetryCeiling: d.settings.Queue.RetryCeiling,
		},
		TaskLease:      cell.TaskLease,
		ClockDrift:     cell.ClockDrift,
		ListLag:        cell.ListLag,
		LongestRequest: cell.LongestRequest,
		RequestWindow:  cell.RequestWindow,
		Tick:           tickInterval,
	}, tanagercontrol.Dependencies{
		Timer:     d.timer,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Peers:     d.transport,
		Effects:   traffic,
		Directory: d.directory,
		Burn:      burn,
		Log:       d.log,
		Wall:      time.Now,
	})
}

func (d *daemon) newAPI(burn *tanagerburn.Ledger, waiters *tanagertraffic.Waiters) *tanagerapi.API {
	return tanagerapi.New(tanagerapi.Settings{
		Self:           d.self.ID,
		Callers:        d.settings.Callers,
		Operators:      d.settings.Operators,
		LongestRequest: d.settings.Cell.LongestRequest,
	}, tanagerapi.Dependencies{
		Timer:   d.timer,
		Wall:    time.Now,
		Inbox:   d.transport,
		Waiters: waiters,
		Store:   d.store,
		Calls:   d.store.Calls,
		Peers:   d.transport,
		Burn:    burn,
		Log:     d.log,
	})
}

// listen opens an address and serves a handler on it.
func listen(address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, listenFailed.Wrap(err, "address %s", address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
	}
	// Serve returns when the server is shut down.
	go func() { _ = server.Serve(listener) }()
	return server, nil
}
