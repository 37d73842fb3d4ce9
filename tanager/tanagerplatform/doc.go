// Package tanagerplatform is a client of the platform's VM list, which lags behind
// the VMs' actual state, and of its VMs: workers and targets.
//
// # Assumed protocols
//
// All use HTTP. The VM list and the workers take JSON bodies by POST.
//
// The VM list: /v1/vms {"after","wait_ms"} -> {"revision","vms"}. It returns the
// VMs that changed after the given revision, or waits for a change.
//
// A worker:
//
//	/v1/sync   renews the task lease of the shard's owner and reports tasks
//	/v1/start  starts tasks under that lease
//	/v1/stop   stops, checkpoints or throttles tasks
//
// Each call carries the epoch of the worker's shard. A worker remembers the
// highest epoch it has seen and responds to a lower one with status 409 and the
// highest epoch; this fences an owner that was paused.
//
// The task lease is measured on the worker's monotonic clock. Each sync response
// holds the current reading as the lease base, and the next sync extends the lease
// to that base plus the lease duration. A delayed sync therefore cannot extend the
// lease beyond this duration after the owner received the last response. When the
// lease expires the worker stops all its tasks. Ended tasks are reported until they
// are acknowledged.
//
// A target is an ordinary HTTP server: /run/<path> runs a request and
// GET /status reports {"slots","busy"}. Targets check no epoch.
//
// # Usage
//
//	client := tanagerplatform.NewClient(tanagerplatform.Settings{CallTimeout: 2 * time.Second})
//	response, err := client.Sync(ctx, vm.Address, tanagerplatform.SyncCall{Epoch: epoch})
package tanagerplatform
