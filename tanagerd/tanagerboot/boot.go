// Package tanagerboot runs a member of a cell as a process: settings, log,
// metrics, listeners, signals and the order of a planned stop.
//
// # Usage
//
//	if err := tanagerboot.Serve("member.yaml"); err != nil {
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
	"tanagersail.example/tanager/tanagerpeer"
	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerd/tanagercell"
	"tanagersail.example/tanagerd/tanagermeter"
	"tanagersail.example/tanagerd/tanagersettings"
)

const (
	// memoryShare of the memory limit is where the collector works harder.
	memoryShare = 0.35
	// heapGrowth in percent lets the heap, a small part of the limit, grow before
	// a collection: processor time is scarcer than memory here.
	heapGrowth = 200
	// leaderTTL is how long a scheduler that went silent stays elected: several
	// renewals, and well under the time for which workers run on alone.
	leaderTTL = 2 * time.Second
	// workerLease is how long workers run on without hearing: long enough for a
	// restart of all daemons.
	workerLease = 5 * time.Second
	// dialTimeout and callTimeout bound calls inside one region, where an
	// answer takes milliseconds and a slow store's some hundreds.
	dialTimeout = 400 * time.Millisecond
	callTimeout = 900 * time.Millisecond
	// transferTimeout bounds the rest of an answer: four listings of 1.4 MB at a
	// time take 4.5 s on the narrowest link, of 10 Mbit/s.
	transferTimeout = 5 * time.Second
	// orderTimeout bounds an order to a worker, which answers in milliseconds.
	orderTimeout = 400 * time.Millisecond
	// idleShare of the descriptors may be idle connections to workers. The rest is
	// for their open polls and orders, and for daemons and callers.
	idleShare = 0.3
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 3 * time.Second
	callerIdle    = 60 * time.Second
	// quietTime is how long a stopping daemon goes on taking requests: the
	// balancer notices after two questions, a second apart.
	quietTime = 2500 * time.Millisecond
	// lastAnswers is left for requests in flight at the end.
	lastAnswers = 1500 * time.Millisecond
)

// Serve runs a member of a cell until SIGTERM.
func Serve(path string) error {
	settings, err := tanagersettings.LoadMember(path)
	if err != nil {
		return err
	}
	log := newLog(os.Stdout)
	log.Info().Str("event", "start").Str("daemon", settings.Daemon.Name).Str("settings", path).Send()
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	meter, err := tanagermeter.New()
	if err != nil {
		return err
	}
	daemon, err := newMember(settings, meter, log)
	if err != nil {
		return err
	}
	servers, err := listen(settings, daemon, meter)
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers)+1)
	for _, s := range servers {
		go func() { failed <- s.run() }()
	}
	go func() { failed <- daemon.Run() }()
	return untilStopped(path, daemon, servers, failed, log)
}

func newMember(s tanagersettings.Member, meter *tanagermeter.Meter, log zerolog.Logger) (*tanagercell.Daemon, error) {
	calls := tanagerplatform.Timeouts{
		Dial:     dialTimeout,
		Call:     callTimeout,
		Transfer: transferTimeout,
	}
	ports := tanagercell.Ports{
		Store: tanagerplatform.NewStore(s.Services.Store, calls),
		Workers: tanagerplatform.NewWorkers(tanagerplatform.Timeouts{
			Dial:     dialTimeout,
			Call:     orderTimeout,
			Transfer: orderTimeout,
		}, int(idleShare*float64(s.Limits.MaxFiles))),
		Decoder: tanagerplatform.Decoder{},
	}
	if s.Services.Advice != "" {
		address, err := netip.ParseAddrPort(s.Services.Advice)
		if err != nil {
			return nil, tanagersettings.OutOfRange.Wrap(err, "services.advice")
		}
		ports.Advisor = tanagerplatform.NewAdvisor(address, calls)
	}
	if s.Services.Machines != "" {
		address, err := netip.ParseAddrPort(s.Services.Machines)
		if err != nil {
			return nil, tanagersettings.OutOfRange.Wrap(err, "services.machines")
		}
		ports.Machines = tanagerplatform.NewMachines(address, s.Daemon.Name, calls)
	}
	return tanagercell.New(tanagercell.Settings{
		Name:        s.Daemon.Name,
		PeerAddress: s.Daemon.PeerAddress,
		PeerToken:   s.Daemon.PeerToken,
		Weight:      s.Limits.CPUShare,
		LeaderTTL:   leaderTTL,
		Dispatch: tanagerdispatch.Settings{
			Lease:        min(workerLease, s.Work.LongestLease()),
			StopGrace:    s.Work.StopGrace(),
			Retention:    s.Work.Retention(),
			RemoteFactor: s.Work.RemoteFactor,
		},
	}, ports, tanagertimer.NewReal(), meter, log), nil
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	// callers tells that it serves callers, who are answered before the end.
	callers bool
}

func (s *server) run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func listen(s tanagersettings.Member, d *tanagercell.Daemon, meter *tanagermeter.Meter) ([]*server, error) {
	ready := chi.NewRouter()
	ready.Get(tanagerplatform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.Desk().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := chi.NewRouter()
	metrics.Handle("/metrics", meter.Handler())
	peers := chi.NewRouter()
	peers.Handle(tanagerpeer.Path, d.PeerHandler())
	wanted := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: s.Daemon.CallerAddress,
			handler: tanagerplatform.NewEntry(d.Desk()),
		},
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
	}
	var servers []*server
	for i, w := range wanted {
		listener, err := net.Listen("tcp", w.address.String())
		if err != nil {
			return nil, errorx.Decorate(err, "listen on %s", w.address)
		}
		servers = append(servers, &server{
			http: &http.Server{
				Handler:           w.handler,
				ReadHeaderTimeout: headerTimeout,
				IdleTimeout:       callerIdle,
			},
			listener: listener,
			callers:  i == 0,
		})
	}
	return servers, nil
}

// untilStopped waits for a signal to stop and ends in order: not ready, the
// scheduler's part handed over, requests answered, then the rest.
func untilStopped(path string, d *tanagercell.Daemon, servers []*server, failed chan error, log zerolog.Logger) error {
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
			began := time.Now()
			d.Resign()
			time.Sleep(quietTime - min(time.Since(began), quietTime))
			ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
			defer cancel()
			for _, one := range servers {
				if one.callers {
					if err := one.http.Shutdown(ctx); err != nil {
						log.Warn().Str("event", "stop_cut_off").Err(err).Send()
					}
				}
			}
			return d.Close()
		}
	}
}

// reload reads the settings again. Addresses and limits of a running process do
// not change; what is wrong with the file is told.
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
