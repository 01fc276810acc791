package chivecaller

import (
	"slices"
	"time"
)

// limitMemory is how long limits are kept after others have replaced them. No connection waits longer.
const limitMemory = 3 * time.Minute

// waitLimits are the limits for the rest of a header and for the next request; zero means no limit.
type waitLimits struct {
	header, idle time.Duration
	// replaced is when others came into force; zero for those in force.
	replaced time.Time
}

// SetLimits sets for how long connections may wait for the rest of a header, and for a request; zero means no limit. A connection
// that waits already keeps the limits that were in force when its wait began if they are longer.
func (c *Conns) SetLimits(now time.Time, headerTime, idleTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := len(c.limits) - 1; last >= 0 {
		if c.limits[last].header == headerTime && c.limits[last].idle == idleTime {
			return
		}
		c.limits[last].replaced = now
	}
	c.limits = slices.DeleteFunc(c.limits, func(l waitLimits) bool { return !l.replaced.IsZero() && now.Sub(l.replaced) > limitMemory })
	c.limits = append(c.limits, waitLimits{header: headerTime, idle: idleTime})
}

// limitsSince returns the longest limits that the caller of a connection may rely on that has been waiting since a time.
func (c *Conns) limitsSince(since time.Time) (headerTime, idleTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, l := range slices.Backward(c.limits) {
		if !l.replaced.IsZero() && l.replaced.Before(since) {
			break
		}
		if i == len(c.limits)-1 {
			headerTime, idleTime = l.header, l.idle
			continue
		}
		headerTime, idleTime = longer(headerTime, l.header), longer(idleTime, l.idle)
	}
	return headerTime, idleTime
}

// longer returns the longer one of two limits, of which zero means none.
func longer(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// waitsSince returns the time since which the connection has been waiting for a request or for the rest of a header.
func (c *Conn) waitsSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince
}
