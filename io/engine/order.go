package engine

import (
	"context"
	"net/http"

	"wisteriadyke/core/fleet"
)

// OrderKind tells what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoadModel loads a model; the engine is cold afterwards.
	OrderLoadModel OrderKind = "load_model"
	// OrderLoadAdapter loads an adapter of the model.
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderLoadVersion loads another version of the model.
	OrderLoadVersion OrderKind = "load_version"
	// OrderSetRole changes the engine's role.
	OrderSetRole OrderKind = "set_role"
)

// Order tells an engine to change what it serves.
type Order struct {
	// Kind tells what to do.
	Kind OrderKind
	// Name is the model, adapter, version or role.
	Name string
	// Fence is the owner's fencing number.
	Fence fleet.Fence
}

// orderRequest is the wire form of Order.
type orderRequest struct {
	Kind  OrderKind   `json:"kind"`
	Name  string      `json:"name"`
	Fence fleet.Fence `json:"fence"`
}

// Order gives the engine an order; CodeStaleFence means it checks fences and has seen a larger one.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.call(ctx, http.MethodPost, "/v1/orders", orderRequest(order), nil)
}
