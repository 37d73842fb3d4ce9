// Package tanagersite is a stand-in of the users' platform for tests: the store,
// the workers and the advice service behind their published HTTP interfaces, and
// an operator that writes the configuration.
//
// It knows the wire from the other side, so it is the one package beside the
// adapter that does. It can be told to misbehave: the store may be down, slow or
// lose answers for some callers, and workers may leave orders unanswered and
// carry them out late, fall silent, or begin a new life. An observer notes what
// the scheduler must never do; see Violations.
//
// # Usage
//
//	site, err := tanagersite.New(tanagersite.Settings{Workers: 12, Stores: 3})
//	defer site.Close()
//	// start daemons with site.StoreAddress(i) and site.AdviceAddress()
//	site.Store(0).SetFault(tanagersite.StoreFault{Down: true})
//	site.Worker(3).Kill()
//	for _, v := range site.Violations() {
//		t.Error(v)
//	}
package tanagersite
