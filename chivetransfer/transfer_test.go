package chivetransfer_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivedrift/chivetransfer"

	"pgregory.net/rapid"
)

// document returns text that does not shrink much, so that its edition has many parts.
func document(version int64, size int) []byte {
	draw := rand.New(rand.NewPCG(uint64(version), 7))
	data := fmt.Appendf(nil, "version %d ", version)
	for len(data) < size {
		data = append(data, byte(draw.IntN(256)))
	}
	return data
}

func edition(t interface{ Fatal(args ...any) }, version int64, size int) *chivetransfer.Edition {
	e, err := chivetransfer.Compress(version, document(version, size))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// fetch passes everything that a receiver wants from senders, and returns the edition.
func fetch(t *testing.T, now time.Time, r *chivetransfer.Receiver, senders map[string]*chivetransfer.Sender) *chivetransfer.Edition {
	t.Helper()
	for range 1000 {
		peer, ask, ok := r.Next(now, -1)
		if !ok {
			now = now.Add(10 * time.Millisecond)
			continue
		}
		part, refusal := senders[peer].Answer(now, "me", ask)
		if refusal != nil {
			r.Refused(now, peer, *refusal)
			continue
		}
		if e, whole := r.Take(peer, *part); whole {
			return e
		}
	}
	t.Fatal("not whole after a thousand steps")
	return nil
}

func TestDocumentComesWhole(t *testing.T) {
	s := chivetransfer.NewSender()
	s.Add(edition(t, 5, 300_000))
	r := chivetransfer.NewReceiver()
	r.Hear("a", 5)
	e := fetch(t, time.Now(), r, map[string]*chivetransfer.Sender{"a": s})
	got, err := e.Document()
	if err != nil || e.Version() != 5 || !bytes.Equal(got, document(5, 300_000)) {
		t.Errorf("got version %d with %d bytes, %v", e.Version(), len(got), err)
	}
}

// Guards against a sender that slows all transfers down by serving every node at once.
func TestSenderServesTwoAtOnce(t *testing.T) {
	now := time.Now()
	s := chivetransfer.NewSender()
	s.Add(edition(t, 5, 300_000))
	for i, peer := range []string{"a", "b", "c", "d"} {
		part, refusal := s.Answer(now, peer, chivetransfer.Ask{Version: 5})
		if served := part != nil; served != (i < 2) {
			t.Errorf("peer %d served: %v", i, served)
		}
		if refusal != nil && (refusal.Version != 5 || len(refusal.Try) != 0) {
			t.Errorf("refused with %+v", refusal)
		}
	}
	s.Hear("a", 4)
	if part, _ := s.Answer(now, "c", chivetransfer.Ask{Version: 5}); part != nil {
		t.Error("word of an older version ended a turn")
	}
	s.Hear("a", 5)
	if part, _ := s.Answer(now, "c", chivetransfer.Ask{Version: 5}); part == nil {
		t.Error("the turn of one that is done does not go to the next")
	}
	if _, refusal := s.Answer(now, "d", chivetransfer.Ask{Version: 5}); refusal == nil || len(refusal.Try) == 0 || refusal.Try[0] != "a" {
		t.Errorf("a busy sender does not name who has it: %+v", refusal)
	}
	later := now.Add(time.Second)
	if part, _ := s.Answer(later, "d", chivetransfer.Ask{Version: 5}); part == nil {
		t.Error("turns of peers that ask no more do not end")
	}
}

// Guards against slow receivers that never complete a document because newer editions keep replacing it.
func TestChangesThatFollowFastKeepNobodyFromTheEnd(t *testing.T) {
	now := time.Now()
	s := chivetransfer.NewSender()
	r := chivetransfer.NewReceiver()
	version := int64(1)
	s.Add(edition(t, version, 400_000))
	r.Hear("a", version)
	for inForce, step := int64(-1), 0; inForce < 3; step++ {
		if step == 200 {
			t.Fatalf("version %d in force after two hundred parts", inForce)
		}
		if step%8 == 7 {
			version++
			s.Add(edition(t, version, 400_000))
			r.Hear("a", version)
		}
		peer, ask, ok := r.Next(now, inForce)
		if !ok {
			t.Fatal("nothing is asked")
		}
		part, refusal := s.Answer(now, "me", ask)
		if refusal != nil {
			t.Fatalf("refused: %+v", refusal)
		}
		if e, whole := r.Take(peer, *part); whole {
			inForce = e.Version()
			s.Hear("me", inForce)
		}
	}
}

func TestReceiverAsksAnotherWhenOneIsSilent(t *testing.T) {
	now := time.Now()
	r := chivetransfer.NewReceiver()
	r.Hear("a", 5)
	r.Hear("b", 5)
	first, _, ok := r.Next(now, 3)
	if !ok {
		t.Fatal("nothing is asked")
	}
	if _, _, ok := r.Next(now.Add(300*time.Millisecond), 3); ok {
		t.Error("asked a second time while the first may still answer")
	}
	second, _, ok := r.Next(now.Add(450*time.Millisecond), 3)
	if !ok || second == first {
		t.Errorf("asked %q, then %q, %v", first, second, ok)
	}
	r.Forget(second)
	if at, waits := r.Wake(now); waits {
		t.Errorf("waits until %v for a peer that is lost", at)
	}
	r.Hear("c", 5)
	if third, _, _ := r.Next(now.Add(460*time.Millisecond), 3); third != "c" {
		t.Errorf("asked %q, want the only source left", third)
	}
	if _, _, ok := r.Next(now.Add(time.Second), 5); ok {
		t.Error("asks for what is in force")
	}
}

func TestUselessVersionIsNotAskedForAgain(t *testing.T) {
	now := time.Now()
	r := chivetransfer.NewReceiver()
	r.Hear("a", 5)
	r.Useless(5)
	if _, _, ok := r.Next(now, 3); ok {
		t.Error("asks for a version that it cannot use")
	}
	r.Hear("a", 6)
	if _, ask, ok := r.Next(now, 3); !ok || ask.Version != 4 {
		t.Errorf("a newer version is not asked for: %+v, %v", ask, ok)
	}
}

// TestWhateverHappensOnlyWholeEditionsCome plays asks and answers that are lost, late, twice and out of order, senders that start anew, die
// and change their version meanwhile: what comes whole is always one of the documents that were sent, and in the end the newest.
func TestWhateverHappensOnlyWholeEditionsCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.step()
		}
		h.newest++
		for peer, s := range h.senders {
			s.Add(edition(t, h.newest, historySize))
			h.receiver.Hear(peer, h.newest)
		}
		for range 100 {
			h.ask(func() string { return "kept" })
		}
		if h.inForce != h.newest {
			t.Fatalf("version %d in the end, want %d", h.inForce, h.newest)
		}
	})
}

const historySize = 100_000

// history is one receiver among three senders.
type history struct {
	t        *rapid.T
	now      time.Time
	senders  map[string]*chivetransfer.Sender
	receiver *chivetransfer.Receiver
	newest   int64
	inForce  int64
	// late has the answers that are still on their way.
	late []answer
}

type answer struct {
	from string
	part chivetransfer.Part
}

func newHistory(t *rapid.T) *history {
	h := &history{
		t: t, now: time.Unix(1000, 0), senders: make(map[string]*chivetransfer.Sender), receiver: chivetransfer.NewReceiver(), newest: -1, inForce: -1,
	}
	for _, peer := range historyPeers {
		h.senders[peer] = chivetransfer.NewSender()
	}
	return h
}

var historyPeers = []string{"a", "b", "c"}

func (h *history) peer() string { return rapid.SampledFrom(historyPeers).Draw(h.t, "peer") }

// step does one thing drawn at random.
func (h *history) step() {
	switch rapid.IntRange(0, 9).Draw(h.t, "what") {
	case 0:
		h.newest++
		h.senders[h.peer()].Add(edition(h.t, h.newest, historySize))
	case 1:
		h.senders[h.peer()] = chivetransfer.NewSender()
	case 2:
		h.receiver.Forget(h.peer())
	case 3:
		peer := h.peer()
		h.receiver.Hear(peer, h.senders[peer].Version())
	case 4:
		if len(h.late) > 0 {
			h.take(h.late[0])
			h.late = h.late[1:]
		}
	default:
		h.ask(func() string {
			return rapid.SampledFrom([]string{"kept", "kept", "lost", "late", "twice"}).Draw(h.t, "fate")
		})
	}
}

// ask lets the receiver ask, and the answer meet its fate.
func (h *history) ask(fate func() string) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(h.t, "pause")) * time.Millisecond)
	peer, ask, ok := h.receiver.Next(h.now, h.inForce)
	if !ok {
		return
	}
	part, refusal := h.senders[peer].Answer(h.now, "me", ask)
	if refusal != nil {
		h.receiver.Refused(h.now, peer, *refusal)
		return
	}
	a := answer{peer, *part}
	switch fate() {
	case "lost":
	case "late":
		h.late = append(h.late, a)
	case "twice":
		h.take(a)
		h.take(a)
	default:
		h.take(a)
	}
}

// take gives the receiver a part, and checks what comes whole.
func (h *history) take(a answer) {
	e, whole := h.receiver.Take(a.from, a.part)
	if !whole {
		return
	}
	got, err := e.Document()
	if err != nil || !bytes.Equal(got, document(e.Version(), historySize)) {
		h.t.Fatalf("version %d came with %d bytes, %v", e.Version(), len(got), err)
	}
	h.inForce = max(h.inForce, e.Version())
}

// FuzzPart feeds a receiver with anything: it neither panics nor takes what does not fit its sum.
func FuzzPart(f *testing.F) {
	f.Add(int64(5), uint64(0), 10, 0, []byte("x"))
	f.Fuzz(func(t *testing.T, version int64, sum uint64, size, from int, data []byte) {
		r := chivetransfer.NewReceiver()
		r.Hear("a", version)
		r.Next(time.Now(), -1)
		e, whole := r.Take("a", chivetransfer.Part{Version: version, Sum: sum, Size: size, From: from, Data: data})
		if !whole {
			return
		}
		// Whole bytes may still be no document; the error says so.
		if document, err := e.Document(); err == nil && len(document) > 64<<20 {
			t.Errorf("%d bytes", len(document))
		}
	})
}
