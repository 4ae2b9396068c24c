// Package capacity measures the cost of the control plane per entry at growing cluster sizes. Its tests write the
// figures.
package capacity
