package chivestream

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"chivedrift/chivedistance"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

// ServiceName is the name under which the service registers.
const ServiceName = "streams"

const (
	// ownerCount is how many nodes besides the first one keep the record of a stream.
	ownerCount = 3
	// askedCount is how many nodes are asked for a record: the owners, and nodes that were owners shortly before.
	askedCount = 5
	// replyTimeout is how long a node in the same region may take to reply: several network round trips.
	replyTimeout = 60 * time.Millisecond
	// askedReaders is how many of the nodes are asked that read the store for others.
	askedReaders = 2
	// lookupRounds is how often nodes are asked if one of them did not reply.
	lookupRounds = 2
)

// Begun records at an owner where a stream began.
type Begun struct {
	Key    Key
	Origin chiverequest.Origin
}

// Ask asks for the record of a stream.
type Ask struct {
	// Number identifies the request among those of the sending node.
	Number uint64
	Key    Key
}

// Answer is the reply to an Ask; Origins is empty if the sender has no record.
type Answer struct {
	Number  uint64
	Origins []chiverequest.Origin
}

// Counts are the numbers of lookups since the start of this node, by outcome.
type Counts struct {
	Found      int64
	Unknown    int64
	Unanswered int64
	Records    int64
	// Stored is the number of beginnings that this node has written to the store, ReadBack of those that it has read at its start.
	Stored   int64
	ReadBack int64
}

// Lookup is the outcome of a lookup.
type Lookup struct {
	// Origins are the origins of the stream, one for each pool that wrote events of it.
	Origins []chiverequest.Origin
	// Answered means that there is no record although all owners replied.
	Answered bool
}

// Service records and looks up where streams began.
type Service struct {
	mesh    *chivewire.Mesh
	calls   *chivedistance.Calls[Answer]
	records *Records
	members atomic.Pointer[[]chivemember.Member]
	// byHash holds the addresses of the members in the order by hash.
	byHash atomic.Pointer[[]string]
	// journal is nil if beginnings are not stored.
	journal *journal

	found, unknown, unanswered atomic.Int64
}

// New returns a service without records, in a fleet of one node.
func New(mesh *chivewire.Mesh) *Service {
	s := &Service{mesh: mesh, calls: chivedistance.NewCalls[Answer](nil), records: NewRecords(time.Now())}
	s.SetMembers(nil)
	chivewire.Receive(mesh, chivewire.KindStreamBegun, func(_ string, b Begun) { s.records.Add(time.Now(), b.Key, b.Origin) })
	chivewire.Receive(mesh, chivewire.KindStreamStore, func(_ string, b Begun) { s.store(b) })
	chivewire.Receive(mesh, chivewire.KindStreamAsk, s.respond)
	chivewire.Receive(mesh, chivewire.KindStreamAnswer, func(_ string, a Answer) { s.calls.Deliver(a.Number, a) })
	return s
}

// SetDistances sets the distances to the peers; it must be called before the first request.
func (s *Service) SetDistances(distances *chivedistance.Table) { s.calls.SetTable(distances) }

// SetJournal has beginnings stored; it must be called before Start.
func (s *Service) SetJournal(options JournalOptions) { s.journal = newJournal(options, s.records) }

// SetMembers applies a membership change.
func (s *Service) SetMembers(members []chivemember.Member) {
	byHash := chivemember.AddressesByHash(members)
	s.members.Store(&members)
	s.byHash.Store(&byHash)
}

// Start begins to store beginnings, and reads those of before.
func (s *Service) Start(ctx context.Context) error {
	if s.journal != nil {
		s.journal.start(ctx)
	}
	return nil
}

// Stop ends that.
func (s *Service) Stop(context.Context) error {
	if s.journal != nil {
		s.journal.duties.End()
	}
	return nil
}

// Dump returns the numbers of records and of lookups by outcome.
func (s *Service) Dump() any { return s.Counts() }

// Counts returns the numbers of records and of lookups by outcome.
func (s *Service) Counts() Counts {
	counts := Counts{Found: s.found.Load(), Unknown: s.unknown.Load(), Unanswered: s.unanswered.Load(), Records: int64(s.records.Len())}
	if s.journal != nil {
		counts.Stored, counts.ReadBack = s.journal.written.Load(), s.journal.readBackCount.Load()
	}
	return counts
}

// Begin records where a stream began, here, at its owners and in the store.
func (s *Service) Begin(team, attempt string, origin chiverequest.Origin) {
	key := KeyOf(team, attempt)
	s.records.Add(time.Now(), key, origin)
	for _, owner := range s.ranked(key, ownerCount) {
		if owner != s.mesh.Self() {
			// If the message is lost, other nodes send the stream nowhere if it could be the wrong version.
			_ = s.mesh.Send(owner, chivewire.KindStreamBegun, Begun{Key: key, Origin: origin})
		}
	}
	if s.journal == nil || s.journal.options.Stores != nil && !s.journal.options.Stores(origin.Pool) {
		return
	}
	begun := Begun{Key: key, Origin: origin}
	if writer := s.writerOf(key); writer != s.mesh.Self() {
		// If the message is lost, the record lasts as long as its owners.
		_ = s.mesh.Send(writer, chivewire.KindStreamStore, begun)
		return
	}
	s.store(begun)
}

// store has a beginning written to the store.
func (s *Service) store(b Begun) {
	if s.journal != nil {
		s.journal.add(b)
	}
}

// writerOf returns the node that writes a stream's beginning to the store: one of the first by hash.
func (s *Service) writerOf(key Key) string {
	byHash := *s.byHash.Load()
	writers := (len(byHash) + nodesPerWriter - 1) / nodesPerWriter
	if writers == 0 {
		return s.mesh.Self()
	}
	return byHash[int(key[0])%writers]
}

// readersOf returns some of the nodes that read the store for others, by the stream.
func (s *Service) readersOf(key Key) (readers []string) {
	if s.journal == nil {
		return nil
	}
	byHash := *s.byHash.Load()
	byHash = byHash[:min(len(byHash), s.journal.options.Readers)]
	for i := range min(askedReaders, len(byHash)) {
		readers = append(readers, byHash[(int(key[0])+i)%len(byHash)])
	}
	return readers
}

// Find looks up where a stream began.
func (s *Service) Find(ctx context.Context, team, attempt string) Lookup {
	key := KeyOf(team, attempt)
	lookup := s.find(ctx, key)
	switch {
	case len(lookup.Origins) > 0:
		s.found.Add(1)
	case lookup.Answered:
		s.unknown.Add(1)
	default:
		s.unanswered.Add(1)
	}
	return lookup
}

func (s *Service) find(ctx context.Context, key Key) (lookup Lookup) {
	if origins := s.records.Find(key); len(origins) > 0 {
		return Lookup{Origins: origins}
	}
	for range lookupRounds {
		if lookup = s.ask(ctx, key); lookup.Answered || len(lookup.Origins) > 0 {
			break
		}
	}
	if len(lookup.Origins) == 0 && s.journal != nil && s.journal.awaitRead(ctx) {
		lookup.Origins = s.records.Find(key)
	}
	return lookup
}

// ask asks the owners of a stream, the nodes that follow them, and some that read the store, at the same time.
func (s *Service) ask(ctx context.Context, key Key) Lookup {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := s.ranked(key, askedCount)
	for _, reader := range s.readersOf(key) {
		if !slices.Contains(asked, reader) {
			asked = append(asked, reader)
		}
	}
	type reply struct {
		rank    int
		err     error
		origins []chiverequest.Origin
	}
	replies := make(chan reply, len(asked))
	for rank, node := range asked {
		go func() {
			if node == s.mesh.Self() {
				replies <- reply{rank: rank}
				return
			}
			answer, err := s.calls.Call(ctx, node, replyTimeout, func(number uint64) error {
				return s.mesh.Send(node, chivewire.KindStreamAsk, Ask{Number: number, Key: key})
			})
			replies <- reply{rank: rank, err: err, origins: answer.Origins}
		}()
	}
	silentOwners := 0
	for range asked {
		r := <-replies
		if len(r.origins) > 0 {
			return Lookup{Origins: r.origins}
		}
		if r.err != nil && r.rank < ownerCount {
			silentOwners++
		}
	}
	return Lookup{Answered: silentOwners == 0}
}

// ranked returns the first nodes for a key: the owners, in several failure domains if possible, then those that follow.
func (s *Service) ranked(key Key, count int) []string {
	members := chiveroute.Ranked("stream/"+string(key), "", *s.members.Load())
	addresses, domains := make([]string, 0, count), make(map[string]bool)
	for _, repeatsDomain := range []bool{false, true} {
		for _, m := range members {
			if len(addresses) < count && !slices.Contains(addresses, m.Address) && (repeatsDomain || !domains[m.FailureDomain]) {
				addresses, domains[m.FailureDomain] = append(addresses, m.Address), true
			}
		}
	}
	return addresses
}

func (s *Service) respond(from string, ask Ask) {
	// The peer asks again if the reply is lost.
	_ = s.mesh.Send(from, chivewire.KindStreamAnswer, Answer{Number: ask.Number, Origins: s.records.Find(ask.Key)})
}
