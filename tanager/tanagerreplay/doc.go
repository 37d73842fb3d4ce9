// Package tanagerreplay plays a load of jobs against a scheduler in virtual time.
//
// A Load describes a fleet, kinds of jobs and bursts. Play draws the same jobs
// for each scheduler from the load's seed, runs them on simulated workers and
// reports what the callers got: worth earned in time or late, jobs turned away,
// waits, and core-seconds that were lost. The simulated workers refuse nothing,
// but Report.Overcommitted counts starts for which there was no room.
//
// Two schedulers are at hand: Dispatch, the cell of package tanagerdispatch, and
// Naive, which takes every job and starts tasks first come, first served on the
// first worker with room. Ratios between the two, from one run, say what the
// decisions of the former are worth under a load.
//
// # Usage
//
//	load := tanagerreplay.Ladder()
//	load.Bursts = []tanagerreplay.Burst{{Kind: 0, From: 4 * time.Second, For: 4 * time.Second, Factor: 2}}
//	smart := tanagerreplay.Play(load, tanagerreplay.NewDispatch(load))
//	plain := tanagerreplay.Play(load, tanagerreplay.NewNaive(load))
//	fmt.Println(smart.Worth() / plain.Worth())
package tanagerreplay
