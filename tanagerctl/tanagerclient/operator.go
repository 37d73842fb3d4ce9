package tanagerclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"tanagersail.example/tanager/tanagerburn"
	"tanagersail.example/tanager/tanagerconfig"
	"tanagersail.example/tanager/tanagerplan"
	"tanagersail.example/tanager/tanagerresource"
)

// Config returns the configuration in force at some daemon.
func (c *Client) Config(ctx context.Context) (tanagerconfig.State, error) {
	var state tanagerconfig.State
	err := c.getJSON(ctx, call{
		method: http.MethodGet,
		path:   "/v1/config",
	}, &state)
	return state, err
}

// Plan returns what an intent would change.
func (c *Client) Plan(ctx context.Context, i tanagerconfig.Intent) (tanagerplan.Plan, error) {
	body, err := json.Marshal(i)
	if err != nil {
		panic(err)
	}
	var plan tanagerplan.Plan
	err = c.getJSON(ctx, call{
		method: http.MethodPost,
		path:   "/v1/plans",
		body:   body,
	}, &plan)
	return plan, err
}

// Confirm puts a plan in force and returns the new revision.
func (c *Client) Confirm(ctx context.Context, p tanagerplan.Plan) (uint64, error) {
	body, err := json.Marshal(struct {
		Revision uint64               `json:"revision"`
		Intent   tanagerconfig.Intent `json:"intent"`
	}{
		Revision: p.Revision,
		Intent:   p.Intent,
	})
	if err != nil {
		panic(err)
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	err = c.getJSON(ctx, call{
		method: http.MethodPost,
		path:   "/v1/plans/confirm",
		body:   body,
	}, &answer)
	return answer.Revision, err
}

// Status is the state of a daemon, as far as it is shown.
type Status struct {
	Self           string                 `json:"self"`
	FailureDomain  string                 `json:"failure_domain"`
	Uptime         time.Duration          `json:"uptime"`
	ConfigRevision uint64                 `json:"config_revision"`
	MapRevision    uint64                 `json:"map_revision"`
	Roster         []string               `json:"roster"`
	StoreRight     bool                   `json:"store_right"`
	Grace          bool                   `json:"grace"`
	Draining       bool                   `json:"draining"`
	Shards         []ShardStatus          `json:"shards"`
	Targets        int                    `json:"targets"`
	GatedTargets   int                    `json:"gated_targets"`
	InFlight       int                    `json:"in_flight"`
	QueuedRequests int                    `json:"queued_requests"`
	Workers        int                    `json:"workers"`
	KnownWorkers   int                    `json:"known_workers"`
	Total          tanagerresource.Vector `json:"total"`
	Held           tanagerresource.Vector `json:"held"`
	Tasks          int                    `json:"tasks"`
	Jobs           int                    `json:"jobs"`
	Recovering     int                    `json:"recovering"`
}

// ShardStatus is a shard that a daemon owns.
type ShardStatus struct {
	Shard       int      `json:"shard"`
	Epoch       uint64   `json:"epoch"`
	Unconfirmed []string `json:"unconfirmed"`
}

// Status returns the state of one daemon.
func (c *Client) Status(ctx context.Context, daemon netip.AddrPort) (Status, error) {
	var status Status
	got, err := c.sendTo(ctx, daemon, call{
		method: http.MethodGet,
		path:   "/v1/status",
	})
	if err != nil {
		return status, err
	}
	return status, got.decode(&status)
}

// Burn returns the ledger of one daemon.
func (c *Client) Burn(ctx context.Context, daemon netip.AddrPort) (tanagerburn.Export, error) {
	var export tanagerburn.Export
	got, err := c.sendTo(ctx, daemon, call{
		method: http.MethodGet,
		path:   "/v1/burn",
	})
	if err != nil {
		return export, err
	}
	return export, got.decode(&export)
}
