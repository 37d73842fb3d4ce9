// Command tanagerfake runs fakes of the platform's services for tests and
// demonstrations: the key-value service, the VMs with their list, and TCP relays
// that can cut connections.
//
// # Usage
//
//	tanagerfake store --address 127.0.0.1:7001
//	tanagerfake fleet --address 127.0.0.1:7002 --file fleet.yaml
//	tanagerfake relay --address 127.0.0.1:7003 --to 127.0.0.1:7101 --control 127.0.0.1:7004
//
// Packages tanagerkv, tanagerfleet and tanagerrelay document the protocols and
// the faults that can be injected.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/goccy/go-yaml"

	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerfake/tanagerfleet"
	"tanagersail.example/tanagerfake/tanagerkv"
	"tanagersail.example/tanagerfake/tanagerrelay"
)

func main() {
	app := kingpin.New("tanagerfake", "Fakes of the platform's services, for tests and demonstrations.")
	app.HelpFlag.Short('h')
	store := app.Command("store", "Run the key-value service.")
	storeAddress := store.Flag("address", "Address to listen on.").Required().String()
	fleet := app.Command("fleet", "Run the VMs and the VM list.")
	fleetAddress := fleet.Flag("address", "Address of the VM list and the fault control interface.").Required().String()
	fleetFile := fleet.Flag("file", "YAML file that describes the VMs.").Required().ExistingFile()
	relay := app.Command("relay", "Forward TCP connections, and cut them on request.")
	relayAddress := relay.Flag("address", "Address to listen on.").Required().String()
	relayTo := relay.Flag("to", "Address to forward connections to.").Required().String()
	relayControl := relay.Flag("control", "Address of the fault control interface.").Required().String()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch command {
	case store.FullCommand():
		server := tanagerkv.New(tanagertimer.NewReal())
		go server.Run(ctx)
		serve(ctx, *storeAddress, server.Handler())
	case fleet.FullCommand():
		f, err := tanagerfleet.New(readFleetSettings(*fleetFile), tanagertimer.NewReal())
		exitOnError(err)
		go f.Run(ctx)
		serve(ctx, *fleetAddress, f.Handler())
	case relay.FullCommand():
		upstream, err := netip.ParseAddrPort(*relayTo)
		exitOnError(err)
		r := tanagerrelay.New(upstream)
		listener, err := net.Listen("tcp", *relayAddress)
		exitOnError(err)
		go r.Run(ctx, listener)
		serve(ctx, *relayControl, r.Handler())
	}
}

func readFleetSettings(path string) tanagerfleet.Settings {
	content, err := os.ReadFile(path)
	exitOnError(err)
	settings := tanagerfleet.Settings{
		Address: netip.MustParseAddr("127.0.0.1"),
	}
	exitOnError(yaml.UnmarshalWithOptions(content, &settings, yaml.Strict()))
	return settings
}

func serve(ctx context.Context, address string, handler http.Handler) {
	server := &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		exitOnError(err)
	}
}

func exitOnError(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "tanagerfake:", err)
	os.Exit(1)
}
