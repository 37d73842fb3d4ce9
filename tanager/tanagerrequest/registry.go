package tanagerrequest

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
)

// ID identifies a request. Its text form is coordinator.issued.number, with the
// time of issue in milliseconds and the last two parts in base 36.
type ID struct {
	// Coordinator is the daemon process that issued the id.
	Coordinator string
	// Issued is the time from the coordinator's start to the issue of the id.
	Issued time.Duration
	// Number is unique within the coordinator.
	Number uint64
}

// String returns the text form.
func (id ID) String() string {
	return id.Coordinator + "." + strconv.FormatInt(id.Issued.Milliseconds(), 36) + "." + strconv.FormatUint(id.Number, 36)
}

// maxIssuedMilliseconds is the largest time of issue that a Duration can hold.
const maxIssuedMilliseconds = int64(math.MaxInt64 / time.Millisecond)

// Parse parses the text form of an id. It returns a failure with the code
// invalid_field if the text is malformed.
func Parse(text string) (ID, *tanagerfailure.Failure) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] == "" {
		return ID{}, malformedID(text)
	}
	issued, err := strconv.ParseInt(parts[1], 36, 64)
	if err != nil || issued < 0 || issued > maxIssuedMilliseconds {
		return ID{}, malformedID(text)
	}
	number, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return ID{}, malformedID(text)
	}
	return ID{
		Coordinator: parts[0],
		Issued:      time.Duration(issued) * time.Millisecond,
		Number:      number,
	}, nil
}

func malformedID(text string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.InvalidField,
		fmt.Sprintf("request id %.80q was not issued by this system", text))
}

// Settings configures a Registry. All fields are required.
type Settings struct {
	// Coordinator is this process's name, unique across restarts and without dots.
	Coordinator string
	// Window is how long after its issue an id may be used for the first time.
	Window time.Duration
	// Retention is how long an entry is retained after the first use of its id. It
	// must be at least as long as Window, or a repeat could run again.
	Retention time.Duration
}

// Key is the part of a request that a repeat must have in common with the first
// use of its id. Digest is a hash of the rest of the request.
type Key struct {
	Branch string
	Digest uint64
}

// entry is a request whose id has been used.
type entry[T any] struct {
	key       Key
	expiresAt time.Time
	value     T
}

// Registry is the deduplication table of one coordinator. It is not safe for
// concurrent use.
type Registry[T any] struct {
	settings      Settings
	start         time.Time
	lastNumber    uint64
	entries       map[ID]*entry[T]
	idsByFirstUse []ID
}

// NewRegistry returns an empty registry of a process that started at the given
// time. It panics if Retention is shorter than Window.
func NewRegistry[T any](s Settings, start time.Time) *Registry[T] {
	if s.Retention < s.Window {
		panic("tanagerrequest: Retention is shorter than Window")
	}
	return &Registry[T]{
		settings: s,
		start:    start,
		entries:  make(map[ID]*entry[T]),
	}
}

// Issue returns a new id, issued at the given time.
func (r *Registry[T]) Issue(now time.Time) ID {
	r.lastNumber++
	return ID{
		Coordinator: r.settings.Coordinator,
		Issued:      now.Sub(r.start).Truncate(time.Millisecond),
		Number:      r.lastNumber,
	}
}

// Begin records the use of an id that this registry issued. It returns the value
// of the request and whether this is the first use of its id. The failure has the
// code request_id_reused if the id was used with another key, invalid_field if it
// was never issued, and request_id_expired if it is older than Window.
func (r *Registry[T]) Begin(id ID, key Key, now time.Time) (*T, bool, *tanagerfailure.Failure) {
	if e := r.entries[id]; e != nil {
		if e.key != key {
			return nil, false, tanagerfailure.New(tanagerfailure.RequestIDReused, "the id was used for another request")
		}
		return &e.value, false, nil
	}
	if id.Number > r.lastNumber {
		return nil, false, malformedID(id.String())
	}
	if now.Sub(r.start)-id.Issued > r.settings.Window {
		return nil, false, tanagerfailure.New(tanagerfailure.RequestIDExpired,
			"the id was issued more than "+r.settings.Window.String()+" ago")
	}
	e := &entry[T]{
		key:       key,
		expiresAt: now.Add(r.settings.Retention),
	}
	r.entries[id] = e
	r.idsByFirstUse = append(r.idsByFirstUse, id)
	return &e.value, true, nil
}

// Len returns the number of retained entries.
func (r *Registry[T]) Len() int { return len(r.entries) }

// Expire removes the entries whose retention time is over and for which ended
// returns true. It stops at the first entry, in order of first use, that has to be
// retained.
func (r *Registry[T]) Expire(now time.Time, ended func(*T) bool) {
	for len(r.idsByFirstUse) > 0 {
		id := r.idsByFirstUse[0]
		e := r.entries[id]
		if now.Before(e.expiresAt) || !ended(&e.value) {
			return
		}
		delete(r.entries, id)
		r.idsByFirstUse = r.idsByFirstUse[1:]
	}
}
