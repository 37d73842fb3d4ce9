// Package tanagerplatform is the client of the platform's VMs: the lagging
// list of live and leaving VMs, the workers and the targets.
//
// # Assumed protocols
//
// All speak HTTP. The list and the workers take JSON bodies by POST.
//
// The list: /v1/vms {"after","wait_ms"} -> {"revision","vms"}. It answers with
// the VMs that changed after the given revision, or waits for a change.
//
// A worker:
//
//	/v1/sync   renews the task lease of the shard's owner and reports tasks
//	/v1/start  starts tasks under that lease
//	/v1/stop   stops, checkpoints or throttles tasks
//
// Each call carries the epoch of the worker's shard. A worker remembers the
// highest epoch it has seen and answers 409 with it to a lower one; this is
// what fences an owner that was paused. The task lease runs on the worker's
// clock: each sync answer holds a lease base, the worker's own reading, which never
// goes back, and the
// next sync extends the lease to that base plus the lease length. A sync that
// is delivered late therefore cannot extend the lease beyond the length after
// the owner received its last answer. When the lease lapses the worker stops
// all its tasks. Ended tasks are reported until they are acknowledged.
//
// A target is an ordinary HTTP server: /run/<path> runs a request and
// GET /status reports {"slots","busy"}. Targets check no epoch.
//
// # Usage
//
//	client := tanagerplatform.NewClient(tanagerplatform.Settings{CallTimeout: 2 * time.Second})
//	report, err := client.Sync(ctx, vm.Address, tanagerplatform.SyncCall{Epoch: epoch})
package tanagerplatform
