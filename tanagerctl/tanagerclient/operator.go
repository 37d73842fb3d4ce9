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

// Config returns the current configuration as the next daemon in turn has it.
func (c *Client) Config(ctx context.Context) (tanagerconfig.State, error) {
	var state tanagerconfig.State
	err := c.sendJSON(ctx, httpRequest{
		method: http.MethodGet,
		path:   "/v1/config",
	}, &state)
	return state, err
}

// Plan computes the effects of an intent without applying it.
func (c *Client) Plan(ctx context.Context, i tanagerconfig.Intent) (tanagerplan.Plan, error) {
	body, err := json.Marshal(i)
	if err != nil {
		panic(err)
	}
	var plan tanagerplan.Plan
	err = c.sendJSON(ctx, httpRequest{
		method: http.MethodPost,
		path:   "/v1/plans",
		body:   body,
	}, &plan)
	return plan, err
}

// Confirm applies a plan and returns the new revision of the configuration. It
// fails with code stale_plan if the configuration has changed since the plan was
// computed.
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
	var response struct {
		Revision uint64 `json:"revision"`
	}
	err = c.sendJSON(ctx, httpRequest{
		method: http.MethodPost,
		path:   "/v1/plans/confirm",
		body:   body,
	}, &response)
	return response.Revision, err
}

// Status is a daemon's view of itself and of the shards, targets and workers that
// it owns. GatedTargets counts the owned targets that it may not use until the
// takeover from their previous owner is confirmed.
type Status struct {
	Self                    string                 `json:"self"`
	FailureDomain           string                 `json:"failure_domain"`
	Uptime                  time.Duration          `json:"uptime"`
	ConfigRevision          uint64                 `json:"config_revision"`
	ShardMapRevision        uint64                 `json:"map_revision"`
	Roster                  []string               `json:"roster"`
	StoreLeaseValid         bool                   `json:"store_right"`
	QuorumLeaseValid        bool                   `json:"grace"`
	Draining                bool                   `json:"draining"`
	Shards                  []ShardStatus          `json:"shards"`
	Targets                 int                    `json:"targets"`
	TargetsAwaitingTakeover int                    `json:"gated_targets"`
	InFlight                int                    `json:"in_flight"`
	QueuedRequests          int                    `json:"queued_requests"`
	Workers                 int                    `json:"workers"`
	KnownWorkers            int                    `json:"known_workers"`
	Capacity                tanagerresource.Vector `json:"total"`
	Allocated               tanagerresource.Vector `json:"held"`
	Tasks                   int                    `json:"tasks"`
	Jobs                    int                    `json:"jobs"`
	Recovering              int                    `json:"recovering"`
}

// ShardStatus describes a shard that a daemon owns. Unconfirmed lists the previous
// owners whose leases are not yet confirmed to have ended.
type ShardStatus struct {
	Shard       int      `json:"shard"`
	Epoch       uint64   `json:"epoch"`
	Unconfirmed []string `json:"unconfirmed"`
}

// Status returns the status of one daemon.
func (c *Client) Status(ctx context.Context, daemon netip.AddrPort) (Status, error) {
	var status Status
	response, err := c.sendTo(ctx, daemon, httpRequest{
		method: http.MethodGet,
		path:   "/v1/status",
	})
	if err != nil {
		return status, err
	}
	return status, response.decode(&status)
}

// Burn returns the service-level records of one daemon.
func (c *Client) Burn(ctx context.Context, daemon netip.AddrPort) (tanagerburn.Export, error) {
	var export tanagerburn.Export
	response, err := c.sendTo(ctx, daemon, httpRequest{
		method: http.MethodGet,
		path:   "/v1/burn",
	})
	if err != nil {
		return export, err
	}
	return export, response.decode(&export)
}
