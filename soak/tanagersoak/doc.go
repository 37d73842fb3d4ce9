// Package tanagersoak plays seeded faults against real daemons.
//
// A run starts daemons as processes and the stand-in of the platform in its own
// process. Callers hand jobs in over open connections, ask for their states and
// cancel some, while a schedule of faults is carried out: signals that kill,
// stop, pause and restart daemons, doors of the store that are down, slow, lose
// answers or forget history, workers that carry orders out late, fall silent or
// begin a new life, and new configurations. Faults overlap. Then everything is
// healed, and each accepted job has to end.
//
// Checked from outside: accepted jobs are known and end; nothing that was
// refused runs; no task runs twice at a time or after its end was acknowledged;
// no worker is overcommitted; steps keep their order.
//
// # Usage
//
//	report, err := tanagersoak.Run(tanagersoak.Settings{Binary: "bin/tanagerd", Seed: 7, Daemons: 4, Workers: 10, Length: 8 * time.Second})
//	for _, b := range report.Broken {
//		fmt.Println(b)
//	}
package tanagersoak
