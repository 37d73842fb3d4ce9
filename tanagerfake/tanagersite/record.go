package tanagersite

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"sync"
	"time"
)

// Record is a record of what a site and its callers see, one JSON object a line.
// It is safe for concurrent use. A nil Record drops everything.
type Record struct {
	mu     sync.Mutex
	out    *bufio.Writer
	closed bool
}

// NewRecord returns a record that writes to out.
func NewRecord(out io.Writer) *Record { return &Record{out: bufio.NewWriter(out)} }

// Fields are the members of a record's line besides its time and its event.
type Fields map[string]any

// Note writes a line.
func (r *Record) Note(event string, f Fields) {
	if r == nil {
		return
	}
	line := maps.Clone(f)
	line["event"] = event
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	line["time"] = time.Now().UTC().Format(recordTimeFormat)
	if content, err := json.Marshal(line); err == nil {
		_, _ = r.out.Write(append(content, '\n'))
	}
}

const recordTimeFormat = "2006-01-02T15:04:05.0000Z"

// Close writes the buffered lines. Later ones are dropped.
func (r *Record) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.out.Flush()
}
