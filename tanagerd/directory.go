package main

import (
	"net/netip"
	"sync"

	"tanagersail.example/tanagerd/tanagermessage"
)

// directory tells the transport where the members listen. The control goroutine
// writes it; the transport's goroutines read it. A member that has left stays in
// it, because it may only have lost its lease and still be told why.
type directory struct {
	mu        sync.RWMutex
	addresses map[string]netip.AddrPort
}

func newDirectory() *directory {
	return &directory{
		addresses: make(map[string]netip.AddrPort),
	}
}

// Set notes the address of a member.
func (d *directory) Set(m tanagermessage.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses[m.ID] = m.Peer
}

// Address implements tanagerpeer.Directory.
func (d *directory) Address(id string) (netip.AddrPort, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	a, ok := d.addresses[id]
	return a, ok
}
