package chivenode

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivekernel"
	"chivedrift/chivelog"
	"chivedrift/chivewire"
)

// discoveryName is the service name of the peer discovery.
const discoveryName = "roster"

const (
	// announceTimeout bounds one attempt to write the node's address to the store.
	announceTimeout = 2 * time.Second
	// announceMinBackoff and announceMaxBackoff bound the delay between attempts while the store does not answer.
	announceMinBackoff = 200 * time.Millisecond
	announceMaxBackoff = 2 * time.Second
	// announceCheckInterval is how often a node checks whether it has to announce its address.
	announceCheckInterval = 200 * time.Millisecond
	// maxUnreadableKeys is how many keys that are no addresses are logged.
	maxUnreadableKeys = 100
)

// peerDiscovery returns the addresses of nodes that may exist: the seeds from the settings and the addresses that
// nodes have announced in the store. It takes the place of the platform's list of VMs.
//
// Only nodes that read the store on behalf of the others, or that know no other node, announce their address. A
// starting node finds the fleet through the seeds, or through the announced addresses if no seed answers. If each
// node wrote its address, read all of them and read them again every 20 s, 18 nodes that start twice within a minute
// would make 36 writes and 197 reads, a fifth of all their store calls, to learn what the seeds already provide
// (counted).
type peerDiscovery struct {
	self          string
	region        string
	failureDomain string
	topic         chivelog.KeyedTopic
	// announceNeeded reports whether other nodes may depend on finding this node's address in the store.
	announceNeeded func() bool
	logger         *slog.Logger
	mu             sync.Mutex
	seeds          []string
	published      map[string]string
	// unreadable holds the keys that are no addresses and have been logged.
	unreadable map[string]bool
	// announced reports whether the node's address is in the store, as far as this node knows.
	announced bool
	tasks     chivekernel.Duties
}

func newPeerDiscovery(self, region, failureDomain string, seeds []string, topic chivelog.KeyedTopic, announceNeeded func() bool, logger *slog.Logger) *peerDiscovery {
	return &peerDiscovery{
		self: self, region: region, failureDomain: failureDomain, seeds: seeds, topic: topic, announceNeeded: announceNeeded, logger: logger, published: make(map[string]string), unreadable: make(map[string]bool),
	}
}

// Start begins to check whether the node has to announce its address.
func (d *peerDiscovery) Start(ctx context.Context) error {
	d.tasks.Begin(ctx, d.run)
	return nil
}

// Stop ends the checks.
func (d *peerDiscovery) Stop(context.Context) error {
	d.tasks.End()
	return nil
}

// Dump returns the known addresses.
func (d *peerDiscovery) Dump() any { return d.addresses() }

// run announces the address when that becomes necessary, and again after the store may have lost it. An attempt with an
// unknown result is repeated like a failed one, because writing the same record twice is harmless.
func (d *peerDiscovery) run(ctx context.Context) {
	logged := false
	backoff := announceMinBackoff
	for ctx.Err() == nil {
		if d.isAnnounced() || !d.announceNeeded() {
			backoff = announceMinBackoff
			sleepContext(ctx, announceCheckInterval)
			continue
		}
		err := d.announce(ctx)
		if err == nil {
			continue
		}
		if !logged && ctx.Err() == nil {
			logged = true
			chiveevent.StoreLost.Log(ctx, d.logger, slog.String("for", "announcement"), slog.String("error", err.Error()))
		}
		sleepContext(ctx, backoff)
		backoff = min(2*backoff, announceMaxBackoff)
	}
}

// announce writes the address to the store.
func (d *peerDiscovery) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	d.mu.Lock()
	d.announced = true
	d.mu.Unlock()
	err := d.topic.Put(ctx, d.self, []byte(d.failureDomain))
	if err != nil {
		d.Restored()
	}
	return err
}

func (d *peerDiscovery) isAnnounced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announced
}

// Restored marks the address as not announced, so that it is written again. It is called when the store has been
// restored from an older copy, which may lack the address.
func (d *peerDiscovery) Restored() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announced = false
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Replace replaces the announced addresses with those of a snapshot.
func (d *peerDiscovery) Replace(snapshot chivelog.KeyedBatch) {
	d.mu.Lock()
	d.published = make(map[string]string, len(snapshot.Records))
	d.mu.Unlock()
	d.Apply(snapshot.Records)
}

// Apply applies later records to the announced addresses.
func (d *peerDiscovery) Apply(records []chivelog.KeyedRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(d.published, record.Key)
			continue
		}
		// A key that is not an address would be dialled forever.
		if err := chivewire.CheckAddress(record.Key); err != nil {
			d.logUnreadable(record.Key, err)
			continue
		}
		d.published[record.Key] = string(record.Value)
	}
}

// logUnreadable logs a key that is not an address, once; the caller holds the lock. The topic is read again and again.
func (d *peerDiscovery) logUnreadable(key string, err error) {
	if d.unreadable[key] || len(d.unreadable) == maxUnreadableKeys {
		return
	}
	d.unreadable[key] = true
	chiveevent.NodeUnreadable.Log(context.Background(), d.logger, slog.String("key", key), slog.String("error", err.Error()))
}

// Lost logs that the store does not answer.
func (d *peerDiscovery) Lost(err error) {
	chiveevent.StoreLost.Log(context.Background(), d.logger, slog.String("for", "nodes"), slog.String("error", err.Error()))
}

// Back logs that the store answers again.
func (d *peerDiscovery) Back() {
	chiveevent.StoreBack.Log(context.Background(), d.logger, slog.String("for", "nodes"))
}

func (d *peerDiscovery) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := append([]string(nil), d.seeds...)
	for address := range d.published {
		addresses = append(addresses, address)
	}
	return addresses
}

// hasSeeds reports whether the settings name a node other than this one as a seed.
func (d *peerDiscovery) hasSeeds() bool {
	return slices.ContainsFunc(d.seeds, func(seed string) bool { return seed != d.self })
}

// listedPeers returns how many other nodes may exist.
func (d *peerDiscovery) listedPeers() int {
	addresses := d.addresses()
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == d.self })
	return len(addresses)
}

// isSeed reports whether the settings name this node as a seed.
func (d *peerDiscovery) isSeed() bool { return slices.Contains(d.seeds, d.self) }

// VMs returns the nodes that may exist. Each is named by its peer address, because a seed has no other name, and gets
// this node's own region.
func (d *peerDiscovery) VMs(context.Context) ([]chivelog.VM, error) {
	seen := make(map[string]bool)
	var vms []chivelog.VM
	for _, address := range d.addresses() {
		if seen[address] {
			continue
		}
		seen[address] = true
		vms = append(vms, chivelog.VM{Name: address, Address: address, Region: d.region, Kind: chivelog.KindEntry, State: chivelog.StateLive})
	}
	return vms, nil
}
