package engine

import (
	"context"
	"net/http"

	"wisteriadyke/core/fleet"
)

// OrderKind specifies what an order changes.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoadModel loads a model, after which the engine is cold.
	OrderLoadModel OrderKind = "load_model"
	// OrderLoadAdapter loads an adapter of the model.
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderLoadVersion loads another version of the model.
	OrderLoadVersion OrderKind = "load_version"
	// OrderSetRole changes the engine's role.
	OrderSetRole OrderKind = "set_role"
)

// Order is an instruction to an engine to change its model, adapter, version or role.
type Order struct {
	// Kind specifies the change.
	Kind OrderKind
	// Name is the name of the model, adapter, version or role.
	Name string
	// Fence is the owner's fencing token.
	Fence fleet.Fence
}

// orderRequest is the wire form of Order.
type orderRequest struct {
	Kind  OrderKind   `json:"kind"`
	Name  string      `json:"name"`
	Fence fleet.Fence `json:"fence"`
}

// Order sends an order to the engine. It fails with CodeStaleFence if the engine checks fencing tokens and has seen a
// larger one.
func (c *Client) Order(ctx context.Context, order Order) error {
	return c.call(ctx, http.MethodPost, "/v1/orders", orderRequest(order), nil)
}
