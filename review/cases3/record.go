package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one event a line, and holds the
// violations that the checks have found. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	file       *os.File
	out        *bufio.Writer
	start      time.Time
	violations []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		out:   bufio.NewWriter(file),
		start: time.Now(),
	}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (r *record) violation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.line("BROKEN %s", text)
}

// close writes the verdict and returns the exit status for it.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := 0
	if len(r.violations) > 0 {
		status = 1
	}
	r.line("rules broken: %d", len(r.violations))
	for _, v := range r.violations[:min(len(r.violations), 5)] {
		fmt.Println("BROKEN", v)
	}
	fmt.Printf("rules broken: %d\n", len(r.violations))
	_ = r.out.Flush()
	_ = r.file.Close()
	return status
}

// contact is contact_ms.
const contact = 3 * time.Second
