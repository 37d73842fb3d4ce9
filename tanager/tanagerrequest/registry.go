package tanagerrequest

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"tanagersail.example/tanager/tanagerfailure"
)

// ID names a request. Its text form is home.issued.number with the last two in
// base 36.
type ID struct {
	// Home is the daemon process that issued the id.
	Home string
	// Issued is the time of issue since the home's start.
	Issued time.Duration
	// Number is unique within the home.
	Number uint64
}

// String returns the text form.
func (id ID) String() string {
	return id.Home + "." + strconv.FormatInt(id.Issued.Milliseconds(), 36) + "." + strconv.FormatUint(id.Number, 36)
}

// maxIssued is the largest time of issue, in milliseconds, that a Duration holds.
const maxIssued = int64(math.MaxInt64 / time.Millisecond)

// Parse returns the id of a text form, or a failure with the code
// invalid_field.
func Parse(text string) (ID, *tanagerfailure.Failure) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] == "" {
		return ID{}, malformed(text)
	}
	issued, err := strconv.ParseInt(parts[1], 36, 64)
	if err != nil || issued < 0 || issued > maxIssued {
		return ID{}, malformed(text)
	}
	number, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return ID{}, malformed(text)
	}
	return ID{
		Home:   parts[0],
		Issued: time.Duration(issued) * time.Millisecond,
		Number: number,
	}, nil
}

func malformed(text string) *tanagerfailure.Failure {
	return tanagerfailure.New(tanagerfailure.InvalidField, fmt.Sprintf("request id %.80q was not issued by this system", text))
}

// Settings of a Registry. All fields are required.
type Settings struct {
	// Home names this process uniquely across restarts. It holds no dots.
	Home string
	// Window is how long after its issue an id may be used.
	Window time.Duration
	// Keep is how long after its first use a request is remembered. It must be
	// at least as long as Window, or a repeat could run again.
	Keep time.Duration
}

// Key is what a repeat must share with the first use of an id.
type Key struct {
	Branch string
	Digest uint64
}

type row[T any] struct {
	key   Key
	due   time.Time
	value T
}

// Registry is the table of the requests of one home. It is not safe for
// concurrent use.
type Registry[T any] struct {
	settings Settings
	start    time.Time
	number   uint64
	rows     map[ID]*row[T]
	order    []ID
}

// NewRegistry returns an empty registry of a process that started at the given
// time.
func NewRegistry[T any](s Settings, start time.Time) *Registry[T] {
	if s.Keep < s.Window {
		panic("tanagerrequest: Keep is shorter than Window")
	}
	return &Registry[T]{
		settings: s,
		start:    start,
		rows:     make(map[ID]*row[T]),
	}
}

// Mint issues an id.
func (r *Registry[T]) Mint(now time.Time) ID {
	r.number++
	return ID{
		Home:   r.settings.Home,
		Issued: now.Sub(r.start).Truncate(time.Millisecond),
		Number: r.number,
	}
}

// Begin notes the use of an id that this registry issued. It returns the row of
// the request and whether this is its first use, or the failure to answer.
func (r *Registry[T]) Begin(id ID, key Key, now time.Time) (*T, bool, *tanagerfailure.Failure) {
	if found := r.rows[id]; found != nil {
		if found.key != key {
			return nil, false, tanagerfailure.New(tanagerfailure.RequestIDReused, "the id was used for another request")
		}
		return &found.value, false, nil
	}
	if id.Number > r.number {
		return nil, false, malformed(id.String())
	}
	if now.Sub(r.start)-id.Issued > r.settings.Window {
		return nil, false, tanagerfailure.New(tanagerfailure.RequestIDExpired, "the id was issued more than "+r.settings.Window.String()+" ago")
	}
	added := &row[T]{
		key: key,
		due: now.Add(r.settings.Keep),
	}
	r.rows[id] = added
	r.order = append(r.order, id)
	return &added.value, true, nil
}

// Len returns the number of remembered requests.
func (r *Registry[T]) Len() int { return len(r.rows) }

// Expire forgets the requests that have been kept for long enough and for which
// ended reports true.
func (r *Registry[T]) Expire(now time.Time, ended func(*T) bool) {
	for len(r.order) > 0 {
		id := r.order[0]
		found := r.rows[id]
		if now.Before(found.due) || !ended(&found.value) {
			return
		}
		delete(r.rows, id)
		r.order = r.order[1:]
	}
}
