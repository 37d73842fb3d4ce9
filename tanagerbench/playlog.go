package main

import (
	"bufio"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// outage is a time in which the store did not answer a daemon.
type outage struct{ start, end time.Duration }

// playLog is what the log of a play says.
type playLog struct {
	jobs map[string]*jobTrace
	// outages are by daemon.
	outages map[string][]outage
}

// storedAt returns when a daemon can have stored an end of the given time at the
// earliest.
func (p *playLog) storedAt(daemon string, at time.Duration) time.Duration {
	for _, o := range p.outages[daemon] {
		if at >= o.start && at < o.end {
			return o.end
		}
	}
	return at
}

// jobTrace is what the logs of all daemons say of a job. Times are from the start
// of the log.
type jobTrace struct {
	queue, completedBy                    string
	firstSeen, accepted, added            time.Duration
	firstStart, completed                 time.Duration
	wasAccepted, wasAdded, started, ended bool
	refusedStore, refusedOverload, unsure int
	failed, cancelled, workerLost         bool
	failedRuns, stoppedRuns               int
	inherited                             bool
}

var (
	logLine  = regexp.MustCompile(`^\s*(-?[0-9.]+)\s+(\S+)\s+level=\S+.* event=(\S+) (.*)$`)
	logField = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)
)

// readPlayLog reads the log of a play. Lines without the time of an event are
// skipped. An error is of type InvalidInput.
func readPlayLog(log io.Reader) (*playLog, error) {
	play := &playLog{
		jobs:    make(map[string]*jobTrace),
		outages: make(map[string][]outage),
	}
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for lines.Scan() {
		if e, ok := parseEvent(lines.Text()); ok {
			play.add(e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, InvalidInput.Wrap(err, "read the log")
	}
	return play, nil
}

// logEvent is a line of the log.
type logEvent struct {
	at           time.Duration
	daemon, name string
	fields       map[string]string
}

func parseEvent(line string) (logEvent, bool) {
	match := logLine.FindStringSubmatch(line)
	if match == nil {
		return logEvent{}, false
	}
	seconds, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		return logEvent{}, false
	}
	e := logEvent{
		at:     time.Duration(seconds * float64(time.Second)),
		daemon: match[2],
		name:   match[3],
		fields: make(map[string]string),
	}
	for _, f := range logField.FindAllStringSubmatch(match[4], -1) {
		e.fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return e, true
}

func (p *playLog) add(e logEvent) {
	switch e.name {
	case "store_reached":
		p.addStoreState(e.daemon, e.at, e.fields["up"] == "true")
	case "daemon_start":
		p.addStoreState(e.daemon, e.at, true)
	}
	id := e.fields["job"]
	if id == "" {
		return
	}
	t := p.jobs[id]
	if t == nil {
		t = &jobTrace{firstSeen: e.at}
		p.jobs[id] = t
	}
	t.add(e)
}

// addStoreState opens an outage when a daemon loses the store, and closes it when
// the daemon reaches it again or starts anew.
func (p *playLog) addStoreState(daemon string, at time.Duration, up bool) {
	known := p.outages[daemon]
	n := len(known)
	open := n > 0 && known[n-1].end == unknownEnd
	switch {
	case up && open:
		known[n-1].end = at
	case !up && !open:
		p.outages[daemon] = append(known, outage{
			start: at,
			end:   unknownEnd,
		})
	}
}

// unknownEnd is the end of an outage that the log does not show.
const unknownEnd = time.Duration(math.MaxInt64)

// maxLogLine is the length of the longest line that is read, in bytes.
const maxLogLine = 1 << 20

// add applies an event of the job.
func (t *jobTrace) add(e logEvent) {
	if q := e.fields["queue"]; q != "" {
		t.queue = q
	}
	switch e.name {
	case "job_accepted":
		if !t.wasAccepted {
			t.accepted = e.at
		}
		t.wasAccepted = true
	case "job_unavailable":
		t.refusedStore++
	case "job_overloaded":
		t.refusedOverload++
	case "job_unsure":
		t.unsure++
	case "job_added":
		if !t.wasAdded {
			t.added = e.at
		}
		t.wasAdded = true
		t.inherited = t.inherited || e.fields["reason"] == "inherited"
	case "run_start":
		if !t.started {
			t.firstStart = e.at
		}
		t.started = true
	case "run_ended":
		switch e.fields["reason"] {
		case "failed", "broken":
			t.failedRuns++
		case "stopped":
			t.stoppedRuns++
		}
	case "run_lost", "start_unanswered", "run_gone":
		t.workerLost = true
	case "job_completed":
		t.completed = e.at
		t.completedBy = e.daemon
		t.ended = true
	case "job_failed":
		t.failed = true
	case "job_cancelled":
		t.cancelled = true
	}
}
