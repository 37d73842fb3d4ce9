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

// Error types that a Client returns.
var (
	// Unreachable means that no connection to a daemon could be established, so
	// the request had no effect.
	Unreachable = Errors.NewType("unreachable")
	// OutcomeUnknown means that the request was sent but no valid response was
	// received, so it may have taken effect.
	OutcomeUnknown = Errors.NewType("unanswered")
	// ErrorResponse carries the failure that a daemon responded with; FailureOf
	// returns it.
	ErrorResponse = Errors.NewType("refused")
)

// failureProperty holds the failure of an error of type ErrorResponse.
var failureProperty = errorx.RegisterProperty("failure")

// FailureOf returns the failure that a daemon responded with, or nil if err is
// not of type ErrorResponse.
func FailureOf(err error) *tanagerfailure.Failure {
	value, ok := errorx.ExtractProperty(err, failureProperty)
	if !ok {
		return nil
	}
	return value.(*tanagerfailure.Failure)
}

// Settings configures a Client.
type Settings struct {
	// Daemons are the HTTP addresses of the daemons, used round-robin.
	Daemons []netip.AddrPort
	// Token is the bearer token of a caller or an operator.
	Token string
}

// Client sends requests to daemons. It is safe for concurrent use.
type Client struct {
	settings   Settings
	http       *http.Client
	nextDaemon atomic.Uint64
	sticky     bool
}

// New returns a client. Its requests have no timeout other than their context's.
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

// Sticky returns a client that sends all requests to one daemon, the next in
// turn, unless no connection to it can be established. Use it to send a request
// to the daemon that issued its id, which coordinates the request.
func (c *Client) Sticky() *Client {
	s := &Client{
		settings: c.settings,
		http:     c.http,
		sticky:   true,
	}
	s.nextDaemon.Store(c.nextDaemon.Add(1))
	return s
}

// firstDaemon returns the number of the daemon that the next request tries first;
// its index is this number modulo the number of daemons.
func (c *Client) firstDaemon() uint64 {
	if c.sticky {
		return c.nextDaemon.Load()
	}
	return c.nextDaemon.Add(1)
}

// Daemons returns the configured addresses.
func (c *Client) Daemons() []netip.AddrPort { return c.settings.Daemons }

// httpRequest is a request before a daemon is chosen for it.
type httpRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// httpResponse is a response whose body has been read completely.
type httpResponse struct {
	status int
	header http.Header
	body   []byte
}

// send sends a request to the first daemon, in turn, that a connection can be
// established to.
func (c *Client) send(ctx context.Context, r httpRequest) (httpResponse, error) {
	first := c.firstDaemon()
	var lastErr error
	for i := range c.settings.Daemons {
		n := (first + uint64(i)) % uint64(len(c.settings.Daemons))
		response, err := c.sendTo(ctx, c.settings.Daemons[n], r)
		if !errorx.IsOfType(err, Unreachable) {
			return response, err
		}
		lastErr = err
	}
	return httpResponse{}, Unreachable.Wrap(lastErr, "no daemon")
}

// sendTo sends a request to one daemon, at most once, and reads the response.
func (c *Client) sendTo(ctx context.Context, daemon netip.AddrPort, r httpRequest) (httpResponse, error) {
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+daemon.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return httpResponse{}, Unreachable.Wrap(err, "%s", daemon)
	}
	for name, values := range r.header {
		request.Header[name] = values
	}
	// The transport cannot resend a body that it cannot rewind.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.settings.Token)
	response, err := c.http.Do(request)
	if err != nil {
		return httpResponse{}, classifySendError(err, daemon)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return httpResponse{}, OutcomeUnknown.Wrap(err, "%s", daemon)
	}
	return httpResponse{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}, nil
}

// classifySendError returns an error of type Unreachable if no connection could
// be established, and of type OutcomeUnknown otherwise.
func classifySendError(err error, daemon netip.AddrPort) error {
	if tanagerdial.Failed(err) {
		return Unreachable.Wrap(err, "%s", daemon)
	}
	return OutcomeUnknown.Wrap(err, "%s", daemon)
}

// failureBody is the JSON encoding of a failure in a response.
type failureBody struct {
	Code         tanagerfailure.Code    `json:"code"`
	Message      string                 `json:"message"`
	Hint         string                 `json:"hint"`
	Outcome      tanagerfailure.Outcome `json:"outcome"`
	RetryAfterMS int64                  `json:"retry_after_ms"`
}

// err decodes the failure in an unsuccessful response and returns it as an error
// of type ErrorResponse. Without a valid failure in the body the error is of type
// OutcomeUnknown.
func (r httpResponse) err() error {
	var body failureBody
	if err := json.Unmarshal(r.body, &body); err != nil || body.Code == "" {
		return OutcomeUnknown.New("status %d without a failure in the body", r.status)
	}
	f := &tanagerfailure.Failure{
		Code:       body.Code,
		Message:    body.Message,
		Hint:       body.Hint,
		Outcome:    body.Outcome,
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
	}
	return newErrorResponse(f)
}

func newErrorResponse(f *tanagerfailure.Failure) error {
	return ErrorResponse.New("%s: %s (%s)", f.Code, f.Message, f.Hint).WithProperty(failureProperty, f)
}

// sendJSON sends a request and decodes the body of a successful response into v.
func (c *Client) sendJSON(ctx context.Context, r httpRequest, v any) error {
	response, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	return response.decode(v)
}

// decode decodes the body of a successful response into v, or returns the error
// of an unsuccessful one.
func (r httpResponse) decode(v any) error {
	if r.status >= 300 {
		return r.err()
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return OutcomeUnknown.Wrap(err, "malformed response body")
	}
	return nil
}
