package main

import (
	"net/netip"
	"sync"

	"tanagersail.example/tanagerd/tanagermessage"
)

// directory maps member IDs to peer addresses for the transport. The control
// goroutine writes it and the transport's goroutines read it. A member that has
// left is kept, because it may only have lost its lease and must still receive
// messages that tell it so.
type directory struct {
	mu        sync.RWMutex
	addresses map[string]netip.AddrPort
}

func newDirectory() *directory {
	return &directory{
		addresses: make(map[string]netip.AddrPort),
	}
}

// Set stores the peer address of a member.
func (d *directory) Set(m tanagermessage.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses[m.ID] = m.Peer
}

// Address implements tanagerpeer.Directory.
func (d *directory) Address(id string) (netip.AddrPort, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	address, ok := d.addresses[id]
	return address, ok
}
