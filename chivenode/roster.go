package chivenode

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
)

// rosterName is the name under which the roster registers.
const rosterName = "roster"

const (
	// announceTimeout bounds one try to leave the node's address in the store.
	announceTimeout = 2 * time.Second
	// announceFirst and announceMost space the tries while the store is away.
	announceFirst = 200 * time.Millisecond
	announceMost  = 2 * time.Second
	// announceLook is how often a node looks whether its address is needed in the store.
	announceLook = 200 * time.Millisecond
)

// roster knows the addresses of nodes that may exist: those left in the store, and the seeds of the settings. It takes the
// place of a list of VMs.
//
// Few nodes leave their address: those that read the store for all, or know no other node. A node that starts finds the fleet through the seeds,
// and through those few when no seed answers. Were each to write its address and to read all of them, and again
// every 20 s, 18 nodes that start twice in a minute would take 36 writes and 197 reads of the store, a fifth of all their calls, to learn what
// the seeds tell (counted).
type roster struct {
	self   string
	region string
	domain string
	topic  chivelog.KeyedTopic
	// needed reports whether the others may need this node's address.
	needed func() bool
	logger *slog.Logger
	mu     sync.Mutex
	seeds  []string
	listed map[string]string
	// left tells that the node's address is in the store, as far as is known.
	left   bool
	duties chivekernel.Duties
}

func newRoster(self, region, domain string, seeds []string, topic chivelog.KeyedTopic, needed func() bool, logger *slog.Logger) *roster {
	return &roster{
		self: self, region: region, domain: domain, seeds: seeds, topic: topic, needed: needed, logger: logger, listed: make(map[string]string),
	}
}

// Start begins to look whether the node's address is needed in the store.
func (r *roster) Start(ctx context.Context) error {
	r.duties.Begin(ctx, r.run)
	return nil
}

// Stop ends that.
func (r *roster) Stop(context.Context) error {
	r.duties.End()
	return nil
}

// Dump returns the addresses.
func (r *roster) Dump() any { return r.addresses() }

// run leaves the address in the store once it is needed there, and again when the store may have lost it; a try whose result is not known is repeated
// like one that failed, since written twice it says the same.
func (r *roster) run(ctx context.Context) {
	told := false
	pause := announceFirst
	for ctx.Err() == nil {
		if r.isLeft() || !r.needed() {
			pause = announceFirst
			wait(ctx, announceLook)
			continue
		}
		err := r.leave(ctx)
		if err == nil {
			continue
		}
		if !told && ctx.Err() == nil {
			told = true
			chiveevent.StoreLost.Log(ctx, r.logger, slog.String("for", "announcement"), slog.String("error", err.Error()))
		}
		wait(ctx, pause)
		pause = min(2*pause, announceMost)
	}
}

// leave writes the address.
func (r *roster) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	err := r.topic.Put(ctx, r.self, []byte(r.domain))
	if err != nil {
		r.Restored()
	}
	return err
}

func (r *roster) isLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

// Restored hears that the store has come back from an older copy, which may lack the address.
func (r *roster) Restored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = false
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Replace takes a snapshot of the store.
func (r *roster) Replace(snapshot chivelog.KeyedBatch) {
	r.mu.Lock()
	r.listed = make(map[string]string, len(snapshot.Records))
	r.mu.Unlock()
	r.Apply(snapshot.Records)
}

// Apply takes later records of the store.
func (r *roster) Apply(records []chivelog.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(r.listed, record.Key)
			continue
		}
		// Anything else that somebody left there would be dialled for ever.
		if _, err := netip.ParseAddrPort(record.Key); err != nil {
			chiveevent.NodeUnreadable.Log(context.Background(), r.logger, slog.String("key", record.Key), slog.String("error", err.Error()))
			continue
		}
		r.listed[record.Key] = string(record.Value)
	}
}

// Lost hears that the store does not answer.
func (r *roster) Lost(err error) {
	chiveevent.StoreLost.Log(context.Background(), r.logger, slog.String("for", "nodes"), slog.String("error", err.Error()))
}

// Back hears that the store answers again.
func (r *roster) Back() {
	chiveevent.StoreBack.Log(context.Background(), r.logger, slog.String("for", "nodes"))
}

func (r *roster) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := append([]string(nil), r.seeds...)
	for address := range r.listed {
		addresses = append(addresses, address)
	}
	return addresses
}

// hasSeeds reports whether the settings name another node that may exist.
func (r *roster) hasSeeds() bool {
	return slices.ContainsFunc(r.seeds, func(seed string) bool { return seed != r.self })
}

// isSeed reports whether the settings name this node as a seed.
func (r *roster) isSeed() bool { return slices.Contains(r.seeds, r.self) }

// VMs returns the nodes that may exist; each is named by its peer address, which is all that a seed tells.
func (r *roster) VMs(context.Context) ([]chivelog.VM, error) {
	seen := make(map[string]bool)
	var vms []chivelog.VM
	for _, address := range r.addresses() {
		if seen[address] {
			continue
		}
		seen[address] = true
		vms = append(vms, chivelog.VM{Name: address, Address: address, Region: r.region, Kind: chivelog.KindEntry, State: chivelog.StateLive})
	}
	return vms, nil
}
