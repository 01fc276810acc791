package chivecaller

import "chivedrift/chivememory"

// Bounds limit what the connections of callers take of a process and of its machine. The zero value limits nothing.
type Bounds struct {
	// Memory holds the bodies of requests; nil means no limit.
	Memory *chivememory.Pool
}

// Bound sets the bounds. It must be called before the server starts.
func (c *Conns) Bound(bounds Bounds) { c.bounds = bounds }
