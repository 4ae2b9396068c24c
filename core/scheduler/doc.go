// Package scheduler grants reservations on the endpoints that this entry owns.
//
// Endpoint makes the decisions: it is a state machine of one endpoint's ledger, warmth and queue, driven by explicit
// times. Pool drives the state machines by the wall clock and lets callers wait for decisions.
package scheduler
