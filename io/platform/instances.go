package platform

import (
	"context"
	"net/http"
	"net/netip"

	"wisteriadyke/core/fleet"
)

// KindEntry marks an entry instance in the instance list, beside the kinds of endpoints.
const KindEntry fleet.Kind = "entry"

// Instance is one row of the instance list, which lags behind the truth.
type Instance struct {
	// ID names the instance.
	ID string
	// Kind is KindEntry or a kind of endpoint.
	Kind fleet.Kind
	// Pool names what an endpoint serves.
	Pool fleet.PoolName
	// Zone is the instance's availability zone.
	Zone fleet.Zone
	// Address is where it listens.
	Address netip.AddrPort
	// State tells whether it takes new work.
	State fleet.State
	// Memory is the KV cache memory of an engine in tokens.
	Memory fleet.Tokens
	// ChecksFence tells whether the endpoint refuses stale fencing numbers.
	ChecksFence bool
}

// Endpoint returns the instance as an endpoint; it is meant for instances that aren't entries.
func (i Instance) Endpoint() fleet.Endpoint {
	return fleet.Endpoint{
		ID:          fleet.EndpointID(i.ID),
		Kind:        i.Kind,
		Pool:        i.Pool,
		Zone:        i.Zone,
		Address:     i.Address,
		State:       i.State,
		Memory:      i.Memory,
		ChecksFence: i.ChecksFence,
	}
}

// wireInstance is one row of the instance list.
type wireInstance struct {
	ID          string         `json:"id"`
	Kind        fleet.Kind     `json:"kind"`
	Pool        fleet.PoolName `json:"pool"`
	Zone        fleet.Zone     `json:"zone"`
	Address     netip.AddrPort `json:"address"`
	State       fleet.State    `json:"state"`
	Memory      fleet.Tokens   `json:"memory"`
	ChecksFence bool           `json:"checks_fence"`
}

// Instances returns the instance list or ErrUnavailable.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var wire []wireInstance
	if err := c.read(ctx, http.MethodGet, "/v1/instances", nil, nil, &wire); err != nil {
		return nil, err
	}
	instances := make([]Instance, len(wire))
	for i, w := range wire {
		instances[i] = Instance(w)
	}
	return instances, nil
}
