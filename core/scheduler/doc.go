// Package scheduler grants the memory of the endpoints that this entry owns.
//
// Endpoint is the decision: a state machine of one endpoint's account, warmth and queue that is driven by explicit
// times. Pool drives the machines with the runtime's clock and lets callers wait.
package scheduler
