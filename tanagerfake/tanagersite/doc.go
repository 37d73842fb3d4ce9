// Package tanagersite is a fake of the users' platform for tests: the store, the
// workers and the advice service behind their published HTTP interfaces, and an
// operator that writes the configuration.
//
// It implements the server side of the wire protocol whose client side is the
// module platform; no other package knows the protocol. It can inject faults: the
// store may be unavailable, slow or lose responses for some daemons, and workers
// may execute commands late without a response, stop responding, restart as a new
// incarnation, crash under some tasks, or change their capacity. An observer
// records violations of the scheduler's invariants; see Violations.
//
// With Settings.WorkerLinks each worker has an address for the daemon of each store
// endpoint, so that the path between a daemon and a worker can be cut, and second
// starts are checked by what workers and callers see.
//
// # Usage
//
//	site, err := tanagersite.New(tanagersite.Settings{Workers: 12, StoreEndpoints: 3})
//	defer site.Close()
//	// start daemons with the addresses of site.StoreEndpoint(i) and site.AdviceAddress()
//	endpoint, _ := site.StoreEndpoint(0)
//	endpoint.SetFault(tanagersite.StoreFault{Unavailable: true})
//	site.Worker(3).Restart()
//	site.Worker(4).SetCapacity(2000)
//	for _, v := range site.Violations() {
//		t.Error(v)
//	}
package tanagersite
