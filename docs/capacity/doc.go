// Package capacity measures what control costs each entry as the system grows; its tests write the figures.
package capacity
