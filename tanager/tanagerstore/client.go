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

// Settings of a Client. All fields are required.
type Settings struct {
	// Address is where the service listens.
	Address netip.AddrPort
	// Caller is sent as the User-Agent of each call.
	Caller string
	// CallTimeout bounds each call other than a watch.
	CallTimeout time.Duration
	// WritesPerSecond and ReadsPerSecond are this daemon's part of the call
	// rates that the service grants to all daemons together. Watches count as
	// reads.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Calls counts the calls that a Client has sent.
type Calls struct {
	Writes uint64 `json:"writes"`
	Reads  uint64 `json:"reads"`
}

// Client implements Store over HTTP. It is safe for concurrent use.
type Client struct {
	settings Settings
	timer    tanagertimer.Service
	http     *http.Client
	writes   *rate.Limiter
	reads    *rate.Limiter
	written  atomic.Uint64
	read     atomic.Uint64
}

var _ Store = (*Client)(nil)

// Bursts are stated as seconds of the sustained rate.
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
		writes: rate.NewLimiter(rate.Limit(s.WritesPerSecond), int(s.WritesPerSecond*burstSeconds)+1),
		reads:  rate.NewLimiter(rate.Limit(s.ReadsPerSecond), int(s.ReadsPerSecond*burstSeconds)+1),
	}
}

// Calls returns the number of calls sent so far.
func (c *Client) Calls() Calls {
	return Calls{
		Writes: c.written.Load(),
		Reads:  c.read.Load(),
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
	if !c.reads.AllowN(c.timer.Now(), 1) {
		return snapshot, OverBudget.New("watch %s", prefix)
	}
	c.read.Add(1)
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
	var answer leaseBody
	err := c.callWrite(ctx, "/v1/lease/grant", grantRequest{TTLMS: ttl.Milliseconds()}, &answer)
	return answer.Lease, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	var answer renewAnswer
	if err := c.callWrite(ctx, "/v1/lease/renew", leaseBody{Lease: id}, &answer); err != nil {
		return err
	}
	if !answer.Alive {
		return LeaseGone.New("lease %d", id)
	}
	return nil
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return c.callWrite(ctx, "/v1/lease/revoke", leaseBody{Lease: id}, &struct{}{})
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, s Swap) (Entry, error) {
	lost := false
	for {
		entry, err := c.swapOnce(ctx, s)
		switch {
		case err == nil:
			return entry, nil
		case errorx.IsOfType(err, Conflict) && lost:
			return resolve(s, entry)
		case errorx.IsOfType(err, Unanswered):
			lost = true
		case !lost || errorx.IsOfType(err, Conflict):
			return entry, err
		}
		if err := c.pause(ctx); err != nil {
			return Entry{}, Ambiguous.Wrap(err, "no answer to the swap of %s", s.Key)
		}
	}
}

// resolve tells whether the entry that now stands in the store is the one of a
// swap whose answer was lost.
func resolve(s Swap, current Entry) (Entry, error) {
	if s.Delete {
		if current.Revision == 0 {
			return current, nil
		}
		return current, Ambiguous.New("%s was changed after a lost delete", s.Key)
	}
	if bytes.Equal(current.Value, s.Value) && current.Revision > s.Expected {
		return current, nil
	}
	return current, Ambiguous.New("%s was changed after a lost swap", s.Key)
}

// lostAnswerPause is the time between a lost answer and the next try.
const lostAnswerPause = 100 * time.Millisecond

func (c *Client) pause(ctx context.Context) error {
	wait := c.timer.After(lostAnswerPause)
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) swapOnce(ctx context.Context, s Swap) (Entry, error) {
	var answer swapAnswer
	if err := c.callWrite(ctx, "/v1/swap", s, &answer); err != nil {
		return Entry{}, err
	}
	if !answer.Swapped {
		return answer.Current, Conflict.New("%s has revision %d, expected %d", s.Key, answer.Current.Revision, s.Expected)
	}
	return Entry{
		Key:      s.Key,
		Value:    s.Value,
		Revision: answer.Revision,
		Lease:    s.Lease,
		Deleted:  s.Delete,
	}, nil
}

func (c *Client) callRead(ctx context.Context, path string, body, answer any) error {
	if !c.reads.AllowN(c.timer.Now(), 1) {
		return OverBudget.New("%s", path)
	}
	c.read.Add(1)
	return c.post(ctx, c.settings.CallTimeout, path, body, answer)
}

func (c *Client) callWrite(ctx context.Context, path string, body, answer any) error {
	if !c.writes.AllowN(c.timer.Now(), 1) {
		return OverBudget.New("%s", path)
	}
	c.written.Add(1)
	return c.post(ctx, c.settings.CallTimeout, path, body, answer)
}

func (c *Client) post(ctx context.Context, timeout time.Duration, path string, body, answer any) error {
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
	response, err := c.http.Do(request)
	if err != nil {
		return classify(err, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Unavailable.New("%s: status %d", path, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return Unanswered.Wrap(err, "%s", path)
	}
	return nil
}

// classify separates calls that certainly took no effect, because no
// connection was made, from calls that may have.
func classify(err error, path string) error {
	if tanagerdial.Failed(err) {
		return Unavailable.Wrap(err, "%s", path)
	}
	return Unanswered.Wrap(err, "%s", path)
}
