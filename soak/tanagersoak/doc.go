// Package tanagersoak runs daemons under seeded fault injection.
//
// A run starts the daemons as processes and the fake platform of package
// tanagersite in its own process. Callers submit jobs over persistent
// connections, query their states and cancel some, while faults are injected:
// signals that kill, stop, pause and restart daemons; store endpoints that are
// unavailable, slow, lose responses or drop their history; workers that execute
// commands late, stop responding, restart as a new incarnation or shrink and grow
// again; tasks that crash their workers; connections that are slow, blocked or
// reset; new configurations. Faults overlap. Once all of them are repaired, each
// accepted job has to end.
//
// The checks use only what is observable from outside the daemons: accepted jobs
// are known and end; no refused job runs; no task runs twice at a time or after
// its end was acknowledged; no worker is overcommitted; steps run in order.
//
// With Settings.Takeovers the faults are series that make the scheduler change again
// and again, under the load of a large site, and second starts are checked as the
// users check them; see docs/SOAK.md.
//
// # Usage
//
//	report, err := tanagersoak.Run(tanagersoak.Settings{
//		Binary: "bin/tanagerd", Seed: 7, Daemons: 4, Workers: 10,
//		FaultDuration: 8 * time.Second, SettleTimeout: 90 * time.Second,
//	})
//	for _, v := range report.Violations {
//		fmt.Println(v)
//	}
package tanagersoak
