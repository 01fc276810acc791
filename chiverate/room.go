package chiverate

import (
	"maps"
	"time"
)

const (
	// roomProbeInterval is how long after a refusal an endpoint is assumed to have no more room than then.
	roomProbeInterval = 8 * time.Second
	// roomGrowthInterval is the time between two increases of the room after that, until the next refusal.
	roomGrowthInterval = 250 * time.Millisecond
	// maxHold is how long a permit counts as in use at most, in case its release is lost.
	maxHold = 30 * time.Second
	// minRoomWait and maxRoomWait bound how soon a node asks again for a permit of an endpoint without room.
	minRoomWait = 20 * time.Millisecond
	maxRoomWait = 250 * time.Millisecond
	// holdWeight is the weight of the newest request in the moving average of their duration.
	holdWeight = 0.1
)

// room estimates how many requests an endpoint runs and accepts into its queue, from its refusals.
type room struct {
	// inUse holds the times of the permits in use, by node.
	inUse map[string][]time.Time
	count int
	// limit is the number of permits that may be in use; 0 before the first refusal.
	limit   int
	probeAt time.Time
	// hold is the moving average of the time for which a permit is in use.
	hold time.Duration
}

func newRoom() room { return room{inUse: make(map[string][]time.Time), hold: maxRoomWait} }

// wait returns 0 if there is room for another request, or how long to wait before asking again.
func (r *room) wait(now time.Time) time.Duration {
	r.expire(now)
	switch {
	case r.limit == 0 || r.count < r.limit:
		return 0
	case now.Before(r.probeAt):
		return min(max(r.hold/time.Duration(r.limit), minRoomWait), maxRoomWait)
	}
	r.limit, r.probeAt = r.count+1, now.Add(roomGrowthInterval)
	return 0
}

func (r *room) enter(now time.Time, node string) {
	r.inUse[node] = append(r.inUse[node], now)
	r.count++
}

// leave ends the use of the oldest permit of a node; one that has expired is ignored.
func (r *room) leave(now time.Time, node string) {
	times := r.inUse[node]
	if len(times) == 0 {
		return
	}
	r.hold += time.Duration(holdWeight * float64(now.Sub(times[0])-r.hold))
	r.drop(node, 1)
}

// refused records that the endpoint had no room beside the permits in use, or beside the given number of requests.
func (r *room) refused(now time.Time, load int) {
	r.limit, r.probeAt = max(r.count, load, 1), now.Add(roomProbeInterval)
}

// drop ends the use of the oldest permits of a node.
func (r *room) drop(node string, permits int) {
	r.count -= permits
	r.inUse[node] = r.inUse[node][permits:]
	if len(r.inUse[node]) == 0 {
		delete(r.inUse, node)
	}
}

// expire ends the use of permits whose release must have been lost.
func (r *room) expire(now time.Time) {
	for node, times := range r.inUse {
		expired := 0
		for expired < len(times) && now.Sub(times[expired]) >= maxHold {
			expired++
		}
		if expired > 0 {
			r.drop(node, expired)
		}
	}
}

func (r *room) forget(isAlive func(node string) bool) {
	for node := range maps.Clone(r.inUse) {
		if !isAlive(node) {
			r.drop(node, len(r.inUse[node]))
		}
	}
}
