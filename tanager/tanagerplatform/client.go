package tanagerplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerdial"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerplatform")

// The types of error that a Client returns.
var (
	// Unreachable means that no connection was made and no byte of the call was
	// sent.
	Unreachable = Errors.NewType("unreached", errorx.Temporary())
	// OutcomeUnknown means that no valid response arrived and the call may have
	// taken effect.
	OutcomeUnknown = Errors.NewType("unanswered", errorx.Timeout())
	// Fenced means that the worker has seen a higher epoch.
	Fenced = Errors.NewType("fenced")
	// ErrorStatus means that the VM responded with another error status.
	ErrorStatus = Errors.NewType("refused")
)

// Settings configures a Client.
type Settings struct {
	// CallTimeout bounds opening a connection and every call except Run, in
	// addition to the time that the call asks the VM to wait.
	CallTimeout time.Duration
	// ConnectionsPerVM bounds the connections to one VM; zero means no bound.
	ConnectionsPerVM int
}

// Client calls the VM list and the VMs. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
}

// NewClient returns a client. It opens no connection until the first call.
func NewClient(s Settings) *Client {
	return &Client{
		settings: s,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: (&net.Dialer{
					Timeout: s.CallTimeout,
				}).DialContext,
				MaxConnsPerHost:     s.ConnectionsPerVM,
				MaxIdleConnsPerHost: 16,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// VMs returns the VMs that changed after a revision. It waits for a change for at
// most wait.
func (c *Client) VMs(ctx context.Context, list netip.AddrPort, after uint64, wait time.Duration) (VMList, error) {
	var vms VMList
	call := ListCall{
		After:  after,
		WaitMS: wait.Milliseconds(),
	}
	err := c.post(ctx, wait, list, "/v1/vms", call, &vms)
	return vms, err
}

// Sync renews the task lease on a worker and returns the tasks that changed.
func (c *Client) Sync(ctx context.Context, worker netip.AddrPort, call SyncCall) (SyncResponse, error) {
	var response SyncResponse
	err := c.post(ctx, call.Wait, worker, "/v1/sync", call, &response)
	return response, err
}

// Start starts tasks on a worker and returns the ones that were started.
func (c *Client) Start(ctx context.Context, worker netip.AddrPort, call StartCall) (StartResponse, error) {
	var response StartResponse
	err := c.post(ctx, 0, worker, "/v1/start", call, &response)
	return response, err
}

// Stop stops, checkpoints or throttles tasks on a worker.
func (c *Client) Stop(ctx context.Context, worker netip.AddrPort, call StopCall) error {
	return c.post(ctx, 0, worker, "/v1/stop", call, &struct{}{})
}

// Status returns the slots of a target.
func (c *Client) Status(ctx context.Context, target netip.AddrPort) (TargetStatus, error) {
	var status TargetStatus
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	request := newRequest(ctx, http.MethodGet, target, "/status", nil)
	err := c.do(request, &status)
	return status, err
}

// RunCall is a request to a target. ID is the request id, Path the path below
// /run/.
type RunCall struct {
	ID         string
	Idempotent bool
	Path       string
	Body       []byte
}

// RunResponse is the complete response of a target. Status is the HTTP status.
type RunResponse struct {
	Status int
	Body   []byte
}

// The headers of a request to a target.
const (
	RequestIDHeader  = "Tanager-Request-Id"
	IdempotentHeader = "Tanager-Idempotent"
)

// Run sends a request to a target and returns its complete response. It returns
// Unreachable only if no byte of the request was sent. The deadline is that of ctx.
func (c *Client) Run(ctx context.Context, target netip.AddrPort, call RunCall) (RunResponse, error) {
	request := newRequest(ctx, http.MethodPost, target, "/run/"+call.Path, call.Body)
	// Without GetBody the transport cannot retry the request, so that it is sent at
	// most once.
	request.GetBody = nil
	request.Header.Set(RequestIDHeader, call.ID)
	if call.Idempotent {
		request.Header.Set(IdempotentHeader, "true")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return RunResponse{}, classifyError(err, target)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return RunResponse{}, OutcomeUnknown.Wrap(err, "%s", target)
	}
	return RunResponse{
		Status: response.StatusCode,
		Body:   body,
	}, nil
}

func newRequest(ctx context.Context, method string, vm netip.AddrPort, path string, body []byte) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.String()+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	return request
}

func (c *Client) post(ctx context.Context, wait time.Duration, vm netip.AddrPort, path string, call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+c.settings.CallTimeout)
	defer cancel()
	body, err := json.Marshal(call)
	if err != nil {
		panic(err)
	}
	return c.do(newRequest(ctx, http.MethodPost, vm, path, body), result)
}

// do sends a request and decodes the JSON body of the response.
func (c *Client) do(request *http.Request, result any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return classifyError(err, request.URL)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return Fenced.New("%s", request.URL)
	default:
		return ErrorStatus.New("%s: status %d", request.URL, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return OutcomeUnknown.Wrap(err, "%s", request.URL)
	}
	return nil
}

// classifyError returns Unreachable if no connection was made, and OutcomeUnknown
// otherwise.
func classifyError(err error, vm any) error {
	if tanagerdial.Failed(err) {
		return Unreachable.Wrap(err, "%s", vm)
	}
	return OutcomeUnknown.Wrap(err, "%s", vm)
}
