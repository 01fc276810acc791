package chivetransfer

import (
	"math/rand/v2"
	"time"
)

const (
	// noVersion stands for the version before the first.
	noVersion = -1

	// patience is how long a part may take before another source is asked: it takes 26 ms on the slowest link of today's VMs, and some
	// times that beside requests. A part that comes later is still taken.
	patience = 400 * time.Millisecond
	// busyPause is the least time before the next ask when every source that is known is busy, and about twice that on average: copies end
	// every 22 to 44 ms on the slowest link, and all that wait must not ask in step.
	busyPause = 30 * time.Millisecond
	// sourcesKept bounds the sources that are remembered; nodes show their version to peers drawn at random, so there are always others.
	sourcesKept = 32
)

// Receiver decides what a node asks of whom to get the newest version that it has heard of; it is used by one goroutine.
type Receiver struct {
	// wanted is the newest version heard of, and useless the newest that came whole and could not be put in force.
	wanted  int64
	useless int64
	// sources has the newest version that each peer is known to have.
	sources map[string]int64
	// sum, version and size are of the edition of which data is the beginning; all zero when none is.
	sum     uint64
	version int64
	size    int
	data    []byte
	// asked is the peer that an answer is awaited from since askedAt; empty when none is.
	asked   string
	askedAt time.Time
	// refused is the peer that was busy last, and restUntil the time until which no peer is asked.
	refused   string
	restUntil time.Time
}

// NewReceiver returns a receiver that wants nothing.
func NewReceiver() *Receiver {
	return &Receiver{wanted: noVersion, useless: noVersion, sources: make(map[string]int64)}
}

// Hear takes word that a peer has a version.
func (r *Receiver) Hear(peer string, version int64) {
	if known, is := r.sources[peer]; version == noVersion || (is && version <= known) {
		return
	}
	if len(r.sources) >= sourcesKept {
		r.dropOldestSource()
	}
	r.sources[peer] = version
	r.wanted = max(r.wanted, version)
}

func (r *Receiver) dropOldestSource() {
	oldest := ""
	for peer, version := range r.sources {
		if oldest == "" || version < r.sources[oldest] {
			oldest = peer
		}
	}
	delete(r.sources, oldest)
}

// Forget takes word that a peer is not reached; another one is asked at once if an answer was awaited from it.
func (r *Receiver) Forget(peer string) {
	delete(r.sources, peer)
	if r.asked == peer {
		r.asked = ""
	}
}

// Wake returns when Next is to be called again if nothing comes before; false when only news of another source can help.
func (r *Receiver) Wake(now time.Time) (time.Time, bool) {
	if r.asked != "" {
		return r.askedAt.Add(patience), true
	}
	return r.restUntil, now.Before(r.restUntil)
}

func (r *Receiver) wants(inForce int64) bool { return r.wanted > max(inForce, r.useless) }

// Next returns what to ask now, and of whom; false when nothing is to be asked now.
func (r *Receiver) Next(now time.Time, inForce int64) (string, Ask, bool) {
	if !r.wants(inForce) {
		r.drop()
		r.asked = ""
		return "", Ask{}, false
	}
	if r.version <= inForce {
		// The document has come by another way meanwhile.
		r.drop()
	}
	if r.asked != "" {
		if now.Sub(r.askedAt) < patience {
			return "", Ask{}, false
		}
		r.Forget(r.asked)
	}
	if now.Before(r.restUntil) {
		return "", Ask{}, false
	}
	peer, ok := r.choose(inForce)
	if !ok {
		return "", Ask{}, false
	}
	r.asked, r.askedAt = peer, now
	return peer, Ask{Version: max(r.version, inForce+1), Sum: r.sum, From: len(r.data)}, true
}

// choose draws a source, not the one that was busy last unless there is no other. An edition that was begun is brought to its end also when a
// newer one is known: else changes that follow each other fast would be in force nowhere until they end.
func (r *Receiver) choose(inForce int64) (string, bool) {
	least := max(r.version, inForce+1)
	chosen, seen := "", 0
	for peer, version := range r.sources {
		if version < least || peer == r.refused {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			chosen = peer
		}
	}
	if version, known := r.sources[r.refused]; chosen == "" && known && version >= least {
		chosen = r.refused
	}
	return chosen, chosen != ""
}

// Take takes a part; it returns the edition when that is whole.
func (r *Receiver) Take(peer string, part Part) (*Edition, bool) {
	if r.asked == peer {
		r.asked = ""
	}
	r.refused = ""
	r.Hear(peer, part.Version)
	if part.Sum != r.sum && part.From == 0 && part.Version >= r.version {
		r.drop()
		r.sum, r.version, r.size = part.Sum, part.Version, part.Size
	}
	if part.Sum != r.sum || part.From != len(r.data) || len(part.Data) == 0 {
		return nil, false
	}
	r.data = append(r.data, part.Data...)
	if len(r.data) < r.size {
		return nil, false
	}
	e := newEdition(r.version, r.data)
	whole := e.sum == r.sum
	r.drop()
	return e, whole
}

// Refused takes a refusal: a peer that has nothing newer is no source any more, a busy one may be again.
func (r *Receiver) Refused(now time.Time, peer string, refusal Refusal) {
	if r.asked != peer {
		return
	}
	r.asked = ""
	if refusal.Version < r.sources[peer] {
		delete(r.sources, peer)
		return
	}
	r.refused = peer
	for _, other := range refusal.Try {
		r.Hear(other, refusal.Version)
	}
	r.restUntil = now.Add(busyPause + rand.N(2*busyPause))
}

// Useless takes word that a version came whole and is not usable; it is not asked for again, a newer one is.
func (r *Receiver) Useless(version int64) { r.useless = max(r.useless, version) }

// drop forgets the parts of an edition that is not wanted any more, or whole.
func (r *Receiver) drop() {
	r.sum, r.version, r.size, r.data = 0, 0, 0, nil
}
