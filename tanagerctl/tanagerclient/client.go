package tanagerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerdial"
	"tanagersail.example/tanager/tanagerfailure"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerclient")

// The types of error that a Client returns.
var (
	// Unreachable means that no daemon could be connected to: the call
	// certainly had no effect.
	Unreachable = Errors.NewType("unreachable")
	// Unanswered means that the call was sent but not answered.
	Unanswered = Errors.NewType("unanswered")
	// Refused carries the failure that a daemon answered with.
	Refused = Errors.NewType("refused")
)

// failureProperty holds the failure of a Refused error.
var failureProperty = errorx.RegisterProperty("failure")

// FailureOf returns the failure that a daemon answered with, or nil.
func FailureOf(err error) *tanagerfailure.Failure {
	value, ok := errorx.ExtractProperty(err, failureProperty)
	if !ok {
		return nil
	}
	return value.(*tanagerfailure.Failure)
}

// Settings of a Client.
type Settings struct {
	// Daemons are tried in turn.
	Daemons []netip.AddrPort
	Token   string
}

// Client calls daemons. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	next     atomic.Uint64
	sticky   bool
}

// New returns a client. Calls take as long as their context allows.
func New(s Settings) *Client {
	return &Client{
		settings: s,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: (&net.Dialer{
					Timeout: time.Second,
				}).DialContext,
				MaxIdleConnsPerHost: 256,
			},
		},
	}
}

// Sticky returns a client whose calls all go to one daemon, the next in turn, as
// long as that can be connected to. A request id is best used at the daemon that
// issued it.
func (c *Client) Sticky() *Client {
	s := &Client{
		settings: c.settings,
		http:     c.http,
		sticky:   true,
	}
	s.next.Store(c.next.Add(1))
	return s
}

// first returns the number of the daemon that the next call tries first.
func (c *Client) first() uint64 {
	if c.sticky {
		return c.next.Load()
	}
	return c.next.Add(1)
}

// Daemons returns the addresses that the client knows.
func (c *Client) Daemons() []netip.AddrPort { return c.settings.Daemons }

// call is one HTTP call.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// answer is the whole answer to a call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends a call to the next daemon that can be connected to.
func (c *Client) send(ctx context.Context, k call) (answer, error) {
	first := c.first()
	var last error
	for i := range c.settings.Daemons {
		n := (first + uint64(i)) % uint64(len(c.settings.Daemons))
		got, err := c.sendTo(ctx, c.settings.Daemons[n], k)
		if !errorx.IsOfType(err, Unreachable) {
			return got, err
		}
		last = err
	}
	return answer{}, Unreachable.Wrap(last, "no daemon")
}

func (c *Client) sendTo(ctx context.Context, daemon netip.AddrPort, k call) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+daemon.String()+k.path, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, Unreachable.Wrap(err, "%s", daemon)
	}
	for name, values := range k.header {
		request.Header[name] = values
	}
	// Without a way to rewind the body the transport sends it at most once.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.settings.Token)
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, classify(err, daemon)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, Unanswered.Wrap(err, "%s", daemon)
	}
	return answer{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}, nil
}

func classify(err error, daemon netip.AddrPort) error {
	if tanagerdial.Failed(err) {
		return Unreachable.Wrap(err, "%s", daemon)
	}
	return Unanswered.Wrap(err, "%s", daemon)
}

// failureBody is the public form of a failure.
type failureBody struct {
	Code         tanagerfailure.Code    `json:"code"`
	Message      string                 `json:"message"`
	Hint         string                 `json:"hint"`
	Outcome      tanagerfailure.Outcome `json:"outcome"`
	RetryAfterMS int64                  `json:"retry_after_ms"`
}

// failure returns the error of an answer that is no success.
func (a answer) failure() error {
	var body failureBody
	if err := json.Unmarshal(a.body, &body); err != nil || body.Code == "" {
		return Unanswered.New("status %d without a failure", a.status)
	}
	f := &tanagerfailure.Failure{
		Code:       body.Code,
		Message:    body.Message,
		Hint:       body.Hint,
		Outcome:    body.Outcome,
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
	}
	return refused(f)
}

func refused(f *tanagerfailure.Failure) error {
	return Refused.New("%s: %s (%s)", f.Code, f.Message, f.Hint).WithProperty(failureProperty, f)
}

// getJSON sends a call and decodes the body of a successful answer.
func (c *Client) getJSON(ctx context.Context, k call, v any) error {
	got, err := c.send(ctx, k)
	if err != nil {
		return err
	}
	return got.decode(v)
}

func (a answer) decode(v any) error {
	if a.status >= 300 {
		return a.failure()
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return Unanswered.Wrap(err, "answer")
	}
	return nil
}
