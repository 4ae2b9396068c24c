// Package capacity measures the cost of the control plane per entry at growing cluster sizes. TestMeasure writes the
// figures to the file that the flag -capacity.out names.
package capacity
