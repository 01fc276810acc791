package chivefollow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chiveevent"
	"chivedrift/chivemember"
	"chivedrift/chivewire"
)

// tend asks peers while the log does not answer, and keeps the record from expiring.
func (f *Follower) tend(ctx context.Context) {
	lastCheck := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, askEvery)
		f.askPeer()
		if time.Since(lastCheck) > checkEvery {
			lastCheck = time.Now()
			f.checkpoint(ctx)
		}
	}
}

func (f *Follower) askPeer() {
	f.mu.Lock()
	needed := f.logDown || f.inForce.Load() == nil || !f.history.Rooted()
	version := f.newest.Version
	if !f.history.Rooted() {
		version = unknownVersion
	}
	f.mu.Unlock()
	if !needed {
		return
	}
	var others []chivemember.Member
	for _, m := range f.members.Members() {
		if m.Name != f.self {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	peer := others[rand.IntN(len(others))]
	// A full ring loses the question; the next second asks another peer.
	_ = f.mesh.Send(peer.Address, chivewire.KindConfigAsk, ask{Version: version})
}

func (f *Follower) onAsk(from string, question ask) {
	f.mu.Lock()
	current, rooted := f.newest, f.history.Rooted()
	f.mu.Unlock()
	if current.Version > question.Version {
		_ = f.mesh.Send(from, chivewire.KindConfigAnswer, answer{Record: current, Rooted: rooted})
	}
}

// onAnswer takes a peer's version: it was accepted by the same rule, so a higher one may run here before the log is back.
// The history takes it only when it has no root of its own; otherwise the log will tell the same.
func (f *Follower) onAnswer(_ string, reply answer) {
	ctx := context.Background()
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Rooted && !f.history.Rooted() {
		f.history.Root(reply.Record)
	}
	if reply.Record.Version > f.newest.Version {
		chiveevent.ConfigFromPeer.Log(ctx, f.logger, slog.Int64("version", reply.Record.Version))
	}
	f.bringIntoForce(ctx, reply.Record)
	f.bringIntoForce(ctx, f.history.Current())
}

// checkpoint re-appends the version in force when its newest record has reached a quarter of the retention time.
//
// Without it a quiet month would let the log expire the only copy of the configuration, and the next node to start
// would find none. Nodes take turns by rank, so that one append usually serves the whole fleet.
func (f *Follower) checkpoint(ctx context.Context) {
	f.mu.Lock()
	version := f.history.Version()
	age := time.Since(f.lastAt)
	due := f.retention/checkpointAfter + time.Duration(f.rank())*f.retention/staggerSteps/checkpointAfter
	id := f.self + "/" + strconv.FormatInt(time.Now().UnixNano(), 10)
	r := f.history.Checkpoint(id, time.Now().UnixMilli())
	skip := f.retention == 0 || version == 0 || f.logDown || !f.history.Rooted() || age < due
	f.mu.Unlock()
	if skip {
		return
	}
	data, err := r.Encode()
	if err != nil {
		return
	}
	if _, err := f.log.Append(ctx, chiveconfig.Stream, data); err == nil {
		chiveevent.ConfigCheckpoint.Log(ctx, f.logger, slog.Int64("version", version))
	}
}

// rank is this node's place among the members by name, up to the number of steps in the stagger.
func (f *Follower) rank() int {
	for i, m := range f.members.Members() {
		if m.Name == f.self {
			return min(i, staggerSteps)
		}
	}
	return staggerSteps
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
