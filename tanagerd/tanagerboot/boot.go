// Package tanagerboot runs a member of a cell as a process. It loads the
// settings, sets up the log, the metrics and the listeners, handles signals and
// shuts down in order.
//
// # Usage
//
//	if err := tanagerboot.Serve("member.yaml", tanagerboot.Overrides{}); err != nil {
//		// the process could not start, or a listener failed
//	}
package tanagerboot

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	tanagerplatform "tanagersail.example/platform"
	"tanagersail.example/tanager/tanagerdispatch"
	"tanagersail.example/tanager/tanageringress"
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagercell"
	"tanagersail.example/tanagerd/tanagermeter"
	"tanagersail.example/tanagerd/tanagersettings"
)

const (
	// softMemoryFraction of the configured memory is the soft limit at which
	// the garbage collector runs more often. It includes the buffers and stacks of
	// all connections that the descriptors allow: a process at its soft limit has
	// little processor time left for its work.
	softMemoryFraction = 0.6
	// largeJobFraction is the fraction of the memory that large jobs may use at the
	// scheduler.
	largeJobFraction = 0.125
	// gcPercent allows the heap, a small part of the memory limit, to grow by
	// this percentage before a collection, because CPU time is scarcer than
	// memory.
	gcPercent = 200
	// leaderTTL is the TTL of the scheduler's lease: several renewals, and well
	// below the time for which workers run without a scheduler.
	leaderTTL = 2 * time.Second
	// workerLeaseTTL is how long workers run without contact: long enough for a
	// restart of all daemons.
	workerLeaseTTL = 5 * time.Second
	// dialTimeout and callTimeout bound calls within a region. A normal response
	// takes milliseconds, one of a slow store some hundreds.
	dialTimeout = 400 * time.Millisecond
	callTimeout = 900 * time.Millisecond
	// transferTimeout bounds the transfer of a response body: four concurrent
	// listings of 1.4 MB take 4.5 s on the narrowest link, of 10 Mbit/s.
	transferTimeout = 5 * time.Second
	// orderTimeout bounds an order to a worker, which responds in milliseconds.
	orderTimeout = 400 * time.Millisecond
	// idleConnFraction is the fraction of the file descriptors that idle
	// connections to workers may use. The rest is for open polls and orders,
	// other daemons and callers.
	idleConnFraction = 0.3
	// headerTimeout and idleTimeout bound the connections of all HTTP servers.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// drainDelay is how long a stopping daemon still accepts requests. The load
	// balancer needs two readiness checks, a second apart, to remove it.
	drainDelay = 2500 * time.Millisecond
	// shutdownTimeout bounds the wait for requests in flight at shutdown.
	shutdownTimeout = 1500 * time.Millisecond
)

// Overrides replace settings of the file. Fields that are 0 replace nothing.
type Overrides struct {
	// GangWait is how long a worker lets a task of a gang wait for the others.
	GangWait time.Duration
	// MaxValueBytes is the largest value that the store accepts.
	MaxValueBytes int
}

func (o Overrides) apply(s *tanagersettings.MemberSettings) error {
	if o.GangWait < 0 || o.MaxValueBytes < 0 {
		return tanagersettings.OutOfRange.New("the gang wait, %v, and the largest value, %d bytes, must not be negative",
			o.GangWait, o.MaxValueBytes)
	}
	if o.GangWait > 0 {
		s.Work.GangWaitMS = o.GangWait.Seconds() * 1000
	}
	if o.MaxValueBytes > 0 {
		s.Limits.MaxValueBytes = o.MaxValueBytes
	}
	return nil
}

// Serve runs a member of a cell with the settings in the file at path until
// SIGTERM or SIGINT. It returns an error if the process cannot start or a
// listener fails.
func Serve(path string, o Overrides) error {
	settings, err := tanagersettings.LoadMember(path)
	if err != nil {
		return err
	}
	if err := o.apply(&settings); err != nil {
		return err
	}
	log := newLog(os.Stdout)
	log.Info().Str("event", "start").Str("daemon", settings.Daemon.Name).Str("settings", path).Send()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(SoftMemoryLimit(settings.Limits.MemoryMB))
	meter, err := tanagermeter.New()
	if err != nil {
		return err
	}
	timer := tanagertimer.NewReal()
	daemon, err := newMember(settings, timer, meter, log)
	if err != nil {
		return err
	}
	limits := settings.Limits
	gate := tanageringress.New(tanageringress.NewLimits(limits.MemoryMB<<20, limits.MaxFiles, limits.MaxHeaderBytes), timer)
	if err := meter.ObserveClients(gate.Usage); err != nil {
		return err
	}
	servers, err := listen(settings, daemon, meter, gate)
	if err != nil {
		return err
	}
	go ReportClients(context.Background(), gate, timer, log)
	failed := make(chan error, len(servers)+1)
	for _, s := range servers {
		go func() { failed <- s.run() }()
	}
	go func() { failed <- daemon.Run() }()
	return waitForShutdown(path, daemon, servers, failed, log)
}

// SoftMemoryLimit returns the soft memory limit, in bytes, of a process with the
// given memory in MiB.
func SoftMemoryLimit(memoryMB int64) int64 { return int64(softMemoryFraction * float64(memoryMB<<20)) }

func newMember(s tanagersettings.MemberSettings, timer tanagertimer.Service, meter *tanagermeter.Meter,
	log zerolog.Logger) (*tanagercell.Daemon, error) {
	timeouts := tanagerplatform.Timeouts{
		Dial:     dialTimeout,
		Call:     callTimeout,
		Transfer: transferTimeout,
	}
	ports := tanagercell.Ports{
		Store: tanagerplatform.NewStore(s.Services.Store, timeouts),
		Workers: tanagerplatform.NewWorkers(tanagerplatform.Timeouts{
			Dial:     dialTimeout,
			Call:     orderTimeout,
			Transfer: orderTimeout,
		}, int(idleConnFraction*float64(s.Limits.MaxFiles))),
		Decoder: tanagerplatform.Decoder{},
	}
	if s.Services.Advice != "" {
		address, err := netip.ParseAddrPort(s.Services.Advice)
		if err != nil {
			return nil, tanagersettings.OutOfRange.Wrap(err, "services.advice")
		}
		ports.Advice = tanagerplatform.NewAdviceService(address, timeouts)
	}
	if s.Services.Machines != "" {
		address, err := netip.ParseAddrPort(s.Services.Machines)
		if err != nil {
			return nil, tanagersettings.OutOfRange.Wrap(err, "services.machines")
		}
		ports.Machines = tanagerplatform.NewMachines(address, s.Daemon.Name, timeouts)
	}
	return tanagercell.New(tanagercell.Settings{
		Name:        s.Daemon.Name,
		PeerAddress: s.Daemon.PeerAddress,
		PeerToken:   s.Daemon.PeerToken,
		Weight:      s.Limits.CPUCores,
		LeaderTTL:   leaderTTL,
		Dispatch: tanagerdispatch.Settings{
			Lease:            min(workerLeaseTTL, s.Work.MaxLease()),
			StopGrace:        s.Work.StopGrace(),
			GangWait:         s.Work.GangWait(),
			Retention:        s.Work.Retention(),
			RemoteFactor:     s.Work.RemoteFactor,
			MaxLargeJobBytes: int64(largeJobFraction * float64(s.Limits.MemoryMB<<20)),
		},
		MaxValueBytes: s.Limits.MaxValueBytes,
	}, ports, timer, meter, log), nil
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	// servesCallers marks the server whose requests are completed at shutdown.
	servesCallers bool
}

func (s *server) run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen returns the servers of a member. Only that for callers is behind the gate:
// the platform and the operator's network keep clients from the others.
func listen(s tanagersettings.MemberSettings, d *tanagercell.Daemon, meter *tanagermeter.Meter,
	gate *tanageringress.Gate) ([]*server, error) {
	ready := chi.NewRouter()
	ready.Get(tanagerplatform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.Frontend().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := chi.NewRouter()
	metrics.Handle("/metrics", meter.Handler())
	peers := chi.NewRouter()
	peers.Handle(tanagerpeer.Path, d.PeerHandler())
	callerListener, err := gate.Listen(s.Daemon.CallerAddress)
	if err != nil {
		return nil, err
	}
	callers := newServer(tanagerplatform.NewCallerHandler(d.Frontend()), callerListener)
	callers.servesCallers = true
	gate.Configure(callers.http)
	servers := []*server{callers}
	for _, e := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: s.Daemon.ReadinessAddress,
			handler: ready,
		},
		{
			address: s.Daemon.MetricsAddress,
			handler: metrics,
		},
		{
			address: s.Daemon.PeerListen,
			handler: peers,
		},
	} {
		listener, err := net.Listen("tcp", e.address.String())
		if err != nil {
			return nil, errorx.Decorate(err, "listen on %s", e.address)
		}
		servers = append(servers, newServer(e.handler, listener))
	}
	return servers, nil
}

func newServer(handler http.Handler, listener net.Listener) *server {
	return &server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
		listener: listener,
	}
}

// waitForShutdown waits for a signal and then shuts down in order: report not
// ready and hand over, wait for drainDelay, complete the callers' requests,
// close the daemon. SIGHUP reloads the settings. waitForShutdown returns early if
// a server or the daemon ends by itself, with the error of that.
func waitForShutdown(path string, d *tanagercell.Daemon, servers []*server, failed chan error,
	log zerolog.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				reload(path, log)
				continue
			}
			log.Info().Str("event", "stop").Str("signal", s.String()).Send()
			start := time.Now()
			d.Resign()
			time.Sleep(drainDelay - min(time.Since(start), drainDelay))
			ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			for _, srv := range servers {
				if srv.servesCallers {
					if err := srv.http.Shutdown(ctx); err != nil {
						log.Warn().Str("event", "shutdown_timeout").Err(err).Send()
					}
				}
			}
			return d.Close()
		}
	}
}

// reload reads the settings again and applies the log level. Addresses and
// limits of a running process do not change. Errors in the file are logged.
func reload(path string, log zerolog.Logger) {
	settings, err := tanagersettings.LoadMember(path)
	if err != nil {
		log.Error().Str("event", "reload_failed").Err(err).Send()
		return
	}
	if level, err := zerolog.ParseLevel(settings.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	log.Info().Str("event", "reload").Str("level", settings.Log.Level).Send()
}
