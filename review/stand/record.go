package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line an event, with the
// seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *os.File
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		start: time.Now(),
		out:   out,
	}, nil
}

func (r *record) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, a ...any) {
	r.note(format, a...)
	fmt.Printf(format+"\n", a...)
}
