package platform

import (
	"context"
	"net/http"
	"net/netip"

	"wisteriadyke/core/fleet"
)

// KindEntry is the kind of an entry in the instance list; all other kinds are kinds of endpoints.
const KindEntry fleet.Kind = "entry"

// Instance is one row of the instance list. The list lags behind the actual state of the instances.
type Instance struct {
	// ID is the unique name of the instance.
	ID string
	// Kind is KindEntry or a kind of endpoint.
	Kind fleet.Kind
	// Pool is the pool of an endpoint.
	Pool fleet.PoolName
	// Zone is the instance's availability zone.
	Zone fleet.Zone
	// Address is the address that the instance listens on.
	Address netip.AddrPort
	// State is the state of the instance: live or leaving.
	State fleet.State
	// Memory is the size of the KV cache of an engine in tokens.
	Memory fleet.Tokens
	// ChecksFence reports whether the endpoint refuses stale fencing tokens.
	ChecksFence bool
}

// Endpoint converts the instance to an endpoint. It must not be called for an entry.
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

// wireInstance is the JSON form of an Instance.
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

// Instances returns the instance list. The error is ErrUnavailable while the platform is unavailable.
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
