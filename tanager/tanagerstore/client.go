package tanagerstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"tanagersail.example/tanager/tanagerdial"
	"tanagersail.example/tanager/tanagertimer"
)

// Settings configures a Client. All fields are required.
type Settings struct {
	// Address is the address of the service.
	Address netip.AddrPort
	// Caller is sent as the User-Agent header of each call.
	Caller string
	// CallTimeout bounds each call; a watch may take its wait time in addition.
	CallTimeout time.Duration
	// WritesPerSecond and ReadsPerSecond are this daemon's share of the call rates
	// that the service allows all daemons together. Watches count as reads.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// CallCounts holds the numbers of calls that a Client has sent.
type CallCounts struct {
	Writes uint64 `json:"writes"`
	Reads  uint64 `json:"reads"`
}

// Client implements Store over HTTP. It is safe for concurrent use.
type Client struct {
	settings     Settings
	timer        tanagertimer.Service
	http         *http.Client
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	writeCalls   atomic.Uint64
	readCalls    atomic.Uint64
}

var _ Store = (*Client)(nil)

// burstSeconds is the burst size of the rate limits, in seconds of the sustained
// rate.
const burstSeconds = 2

// NewClient returns a client. It opens no connection until the first call.
func NewClient(s Settings, timer tanagertimer.Service) *Client {
	return &Client{
		settings: s,
		timer:    timer,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 16,
				IdleConnTimeout:     time.Minute,
			},
		},
		writeLimiter: rate.NewLimiter(rate.Limit(s.WritesPerSecond), int(s.WritesPerSecond*burstSeconds)+1),
		readLimiter:  rate.NewLimiter(rate.Limit(s.ReadsPerSecond), int(s.ReadsPerSecond*burstSeconds)+1),
	}
}

// CallCounts returns the number of calls sent so far.
func (c *Client) CallCounts() CallCounts {
	return CallCounts{
		Writes: c.writeCalls.Load(),
		Reads:  c.readCalls.Load(),
	}
}

// Read implements Store.
func (c *Client) Read(ctx context.Context, prefix string) (Snapshot, error) {
	var snapshot Snapshot
	err := c.callRead(ctx, "/v1/read", readRequest{Prefix: prefix}, &snapshot)
	return snapshot, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Snapshot, error) {
	var snapshot Snapshot
	if !c.readLimiter.AllowN(c.timer.Now(), 1) {
		return snapshot, RateLimited.New("watch %s", prefix)
	}
	c.readCalls.Add(1)
	body := watchRequest{
		Prefix: prefix,
		After:  after,
		WaitMS: wait.Milliseconds(),
	}
	err := c.post(ctx, wait+c.settings.CallTimeout, "/v1/watch", body, &snapshot)
	return snapshot, err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response leaseMessage
	err := c.callWrite(ctx, "/v1/lease/grant", grantRequest{TTLMS: ttl.Milliseconds()}, &response)
	return response.Lease, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	var response renewResponse
	if err := c.callWrite(ctx, "/v1/lease/renew", leaseMessage{Lease: id}, &response); err != nil {
		return err
	}
	if !response.Alive {
		return LeaseGone.New("lease %d", id)
	}
	return nil
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.callWrite(ctx, "/v1/lease/revoke", leaseMessage{Lease: id}, &struct{}{})
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, s Swap) (Entry, error) {
	responseLost := false
	for {
		entry, err := c.trySwap(ctx, s)
		switch {
		case err == nil:
			return entry, nil
		case errorx.IsOfType(err, Conflict) && responseLost:
			return resolveLostResponse(s, entry)
		case errorx.IsOfType(err, OutcomeUnknown):
			responseLost = true
		case !responseLost || errorx.IsOfType(err, Conflict):
			return entry, err
		}
		if err := c.waitToRetry(ctx); err != nil {
			return Entry{}, Ambiguous.Wrap(err, "no answer to the swap of %s", s.Key)
		}
	}
}

// resolveLostResponse returns the current entry if it results from a swap whose
// response was lost, and Ambiguous otherwise.
func resolveLostResponse(s Swap, current Entry) (Entry, error) {
	if s.Delete {
		if current.Revision == 0 {
			return current, nil
		}
		return current, Ambiguous.New("%s was changed after a lost delete", s.Key)
	}
	if bytes.Equal(current.Value, s.Value) && current.Revision > s.ExpectedRevision {
		return current, nil
	}
	return current, Ambiguous.New("%s was changed after a lost swap", s.Key)
}

// swapRetryDelay is the time between a lost response and the next attempt.
const swapRetryDelay = 100 * time.Millisecond

// waitToRetry waits for swapRetryDelay or until ctx is done.
func (c *Client) waitToRetry(ctx context.Context) error {
	delay := c.timer.After(swapRetryDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// trySwap sends a swap once.
func (c *Client) trySwap(ctx context.Context, s Swap) (Entry, error) {
	var response swapResponse
	if err := c.callWrite(ctx, "/v1/swap", s, &response); err != nil {
		return Entry{}, err
	}
	if !response.Swapped {
		return response.Current, Conflict.New("%s has revision %d, expected %d",
			s.Key, response.Current.Revision, s.ExpectedRevision)
	}
	return Entry{
		Key:      s.Key,
		Value:    s.Value,
		Revision: response.Revision,
		Lease:    s.Lease,
		Deleted:  s.Delete,
	}, nil
}

func (c *Client) callRead(ctx context.Context, path string, body, response any) error {
	if !c.readLimiter.AllowN(c.timer.Now(), 1) {
		return RateLimited.New("%s", path)
	}
	c.readCalls.Add(1)
	return c.post(ctx, c.settings.CallTimeout, path, body, response)
}

func (c *Client) callWrite(ctx context.Context, path string, body, response any) error {
	if !c.writeLimiter.AllowN(c.timer.Now(), 1) {
		return RateLimited.New("%s", path)
	}
	c.writeCalls.Add(1)
	return c.post(ctx, c.settings.CallTimeout, path, body, response)
}

func (c *Client) post(ctx context.Context, timeout time.Duration, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	url := "http://" + c.settings.Address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		panic(err)
	}
	request.Header.Set("User-Agent", c.settings.Caller)
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return classifyError(err, path)
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		return Unavailable.New("%s: status %d", path, httpResponse.StatusCode)
	}
	if err := json.NewDecoder(httpResponse.Body).Decode(response); err != nil {
		return OutcomeUnknown.Wrap(err, "%s", path)
	}
	return nil
}

// classifyError returns Unavailable if no connection was made, so that the call
// certainly took no effect, and OutcomeUnknown otherwise.
func classifyError(err error, path string) error {
	if tanagerdial.Failed(err) {
		return Unavailable.Wrap(err, "%s", path)
	}
	return OutcomeUnknown.Wrap(err, "%s", path)
}
