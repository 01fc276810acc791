package chivefollow

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"

	"chivedrift/chiveconfig"
	"chivedrift/chiveevent"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the follower registers.
const ServiceName = "configuration"

const (
	pollWait        = 10 * time.Second
	retryAfter      = 500 * time.Millisecond
	askEvery        = time.Second
	checkEvery      = 5 * time.Second
	checkpointAfter = 4
	staggerSteps    = 40
	unknownVersion  = -1
)

// Members is what the follower needs of the membership.
type Members interface {
	// Members returns every member that is not dead.
	Members() []chivemember.Member
}

// InForce is one version of the configuration as it runs on this node.
type InForce struct {
	version int64
	hash    string
	config  *chiveconfig.Config
}

// NewInForce returns a version as it runs on a node.
func NewInForce(version int64, hash string, config *chiveconfig.Config) *InForce {
	return &InForce{version: version, hash: hash, config: config}
}

// Version returns the version's number.
func (f *InForce) Version() int64 { return f.version }

// Hash returns the SHA-256 of the bundle.
func (f *InForce) Hash() string { return f.hash }

// Config returns the site's effective configuration.
func (f *InForce) Config() *chiveconfig.Config { return f.config }

// ask requests a peer's current record when its version is higher.
type ask struct {
	Version int64
}

// answer carries the current record of a peer.
type answer struct {
	Record chiveconfig.Record
	Rooted bool
}

// Follower is the service that keeps the configuration in force.
type Follower struct {
	site      string
	retention time.Duration
	self      string
	log       chivelog.Log
	mesh      *chivewire.Mesh
	members   Members
	logger    *slog.Logger

	mu       sync.Mutex
	history  *chiveconfig.History
	newest   chiveconfig.Record
	offset   int64
	lastAt   time.Time
	logDown  bool
	problem  string
	watchers []func(*InForce)

	inForce atomic.Pointer[InForce]
	duties  chivekernel.Duties
}

// Options are the parts a follower is made of.
type Options struct {
	Site      string
	Self      string
	Retention time.Duration
	Log       chivelog.Log
	Mesh      *chivewire.Mesh
	Members   Members
	Logger    *slog.Logger
}

// New returns a follower that has nothing in force yet.
func New(o Options) *Follower {
	f := &Follower{
		site: o.Site, self: o.Self, retention: o.Retention, log: o.Log, mesh: o.Mesh, members: o.Members, logger: o.Logger,
		history: chiveconfig.NewHistory(),
	}
	chivewire.Receive(f.mesh, chivewire.KindConfigAsk, f.onAsk)
	chivewire.Receive(f.mesh, chivewire.KindConfigAnswer, f.onAnswer)
	return f
}

// InForce returns the version in force, or nil while there is none.
func (f *Follower) InForce() *InForce { return f.inForce.Load() }

// OnChange adds a function that hears of each version that comes into force, and of the present one at once; it must not block.
func (f *Follower) OnChange(heard func(*InForce)) {
	f.mu.Lock()
	f.watchers = append(f.watchers, heard)
	current := f.inForce.Load()
	f.mu.Unlock()
	if current != nil {
		heard(current)
	}
}

// Start begins to follow the log.
func (f *Follower) Start(ctx context.Context) error {
	f.duties.Begin(ctx, f.follow, f.tend)
	return nil
}

// Stop ends both goroutines.
func (f *Follower) Stop(context.Context) error {
	f.duties.End()
	return nil
}

// State is the dump of the follower.
type State struct {
	Version  int64  `json:"version"`
	Hash     string `json:"hash"`
	Accepted int64  `json:"accepted_version"`
	Offset   int64  `json:"log_offset"`
	LogDown  bool   `json:"log_down"`
	Problem  string `json:"problem,omitempty"`
}

// Dump returns the version in force and how far the log was read.
func (f *Follower) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := State{Accepted: f.newest.Version, Offset: f.offset, LogDown: f.logDown, Problem: f.problem}
	if current := f.inForce.Load(); current != nil {
		state.Version, state.Hash = current.version, current.hash
	}
	return state
}

// ---------------------------------------------------------------- the log

func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		from := f.offset
		f.mu.Unlock()
		batch, err := f.log.Read(ctx, chiveconfig.Stream, from, pollWait)
		if err != nil {
			f.noteLogDown(ctx, err)
			sleep(ctx, retryAfter)
			continue
		}
		f.take(ctx, batch)
	}
}

func (f *Follower) noteLogDown(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.logDown && ctx.Err() == nil {
		chiveevent.ConfigLogDown.Log(ctx, f.logger, slog.String("error", err.Error()))
	}
	f.logDown = true
}

func (f *Follower) take(ctx context.Context, batch chivelog.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logDown = false
	if batch.First > f.offset {
		f.history.Gap()
	}
	for _, entry := range batch.Records {
		f.offset = entry.Offset + 1
		r, err := chiveconfig.DecodeRecord(entry.Data)
		if err != nil {
			f.report(ctx, fmt.Sprintf("offset %d: %v", entry.Offset, err))
			continue
		}
		f.apply(ctx, r, time.UnixMilli(entry.AtUnixMs))
	}
	f.offset = max(f.offset, batch.First)
}

// apply judges a record by the rule and brings an accepted one into force; the caller holds the lock.
func (f *Follower) apply(ctx context.Context, r chiveconfig.Record, at time.Time) {
	switch f.history.Apply(r) {
	case chiveconfig.Accepted:
		f.lastAt = at
	case chiveconfig.Rejected:
		chiveevent.ConfigRejected.Log(ctx, f.logger, slog.String("id", r.ID), slog.String("author", r.Author),
			slog.Int64("parent", r.Parent), slog.Int64("current", f.history.Version()))
	case chiveconfig.Repeated:
		if r.Kind == chiveconfig.KindCheckpoint && r.Version == f.history.Version() {
			f.lastAt = at
		}
	case chiveconfig.Undecided:
	}
	f.bringIntoForce(ctx, f.history.Current())
}

// bringIntoForce puts the accepted version to work. A node that cannot read it keeps the last good one and says so,
// since a node that dropped its configuration would drop its traffic.
func (f *Follower) bringIntoForce(ctx context.Context, r chiveconfig.Record) {
	if r.Version <= f.newest.Version {
		return
	}
	f.newest = r
	config, err := r.Bundle.Effective(f.site)
	if err != nil {
		f.report(ctx, fmt.Sprintf("version %d: %v", r.Version, err))
		return
	}
	f.problem = ""
	fresh := NewInForce(r.Version, r.Bundle.Hash(), config)
	// The services come first: a node that is ready while they do not know the version answers 401 for a key that it holds, which callers
	// take as final.
	for _, heard := range f.watchers {
		heard(fresh)
	}
	f.inForce.Store(fresh)
	chiveevent.ConfigInForce.Log(ctx, f.logger, slog.Int64("version", fresh.version), slog.String("hash", fresh.hash), slog.String("author", r.Author))
}

func (f *Follower) report(ctx context.Context, problem string) {
	f.problem = problem
	chiveevent.ConfigUndecodable.Log(ctx, f.logger, slog.String("problem", problem))
}
