package chiveclaim

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chivedrift/chivekernel"

	"chivedrift/chivemember"
	"chivedrift/chivering"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"
)

// ClientName is the name under which the gateway's side registers.
const ClientName = "claims"

const (
	replyWait    = 3 * time.Second
	pollOutcome  = 150 * time.Millisecond
	finishRing   = 4096
	maxReclaims  = 3
	skewAllowed  = 5 * time.Second
	uuidLength   = 36
	uuidVersion  = 14
	uuidSplit    = 8
	uuidSplitEnd = 13
)

// ErrNotClaimed means that the request holds no claim and must not run.
var ErrNotClaimed = errors.New("claim not written")

// ErrTooOld means that the key is older than the claim window.
var ErrTooOld = errors.New("key is older than the claim window")

// Claim is the right of one request to run under its key.
type Claim struct {
	key     string
	request string
	window  int64
}

// Client claims keys for this gateway's requests.
type Client struct {
	self    string
	mesh    *chivewire.Mesh
	places  atomic.Pointer[chiveroute.Placement]
	mu      sync.Mutex
	waiting map[string]chan Reply
	finish  *chivering.Ring[Write]
	duties  chivekernel.Duties
}

// NewClient returns the gateway's side; self names the node and its incarnation.
func NewClient(self string, mesh *chivewire.Mesh) *Client {
	c := &Client{self: self, mesh: mesh, waiting: make(map[string]chan Reply), finish: chivering.New[Write](finishRing)}
	c.SetMembers(nil)
	chivewire.Receive(mesh, chivewire.KindClaimResult, c.onReply)
	return c
}

// anyRegion places a slot's writer once in the fleet: with one in each region the fleet's appends would double.
const anyRegion = ""

// SetMembers takes a change of the fleet.
func (c *Client) SetMembers(members []chivemember.Member) {
	keys := make([]chiveroute.Key, 0, Slots)
	for slot := range Slots {
		keys = append(keys, chiveroute.NewKey(StreamOf(slot), anyRegion))
	}
	c.places.Store(chiveroute.NewPlacement(keys, members))
}

// Start begins to write outcomes.
func (c *Client) Start(ctx context.Context) error {
	c.duties.Begin(ctx, c.writeOutcomes)
	return nil
}

// Stop writes the outcomes that wait, as far as the log takes them, and ends.
func (c *Client) Stop(context.Context) error {
	c.duties.End()
	return nil
}

// Dump returns the claims that wait for a reply and the outcomes that wait to be written.
func (c *Client) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return struct {
		Waiting  int             `json:"waiting"`
		Outcomes chivering.Depth `json:"outcomes"`
	}{len(c.waiting), c.finish.Depth()}
}

// Begin claims a key for a request. It returns a claim, which alone allows the request to run, or the outcome of the
// request that owns the key, or an error: ErrNotClaimed and ErrTooOld mean that this request did not and will not run.
// Neither claim nor outcome nor error means that the owner's end was not known before the context ended.
func (c *Client) Begin(ctx context.Context, key, request string, window time.Duration) (*Claim, *Outcome, error) {
	if tooOld(time.Now(), key, window) {
		return nil, nil, ErrTooOld
	}
	for try := range maxReclaims {
		claim := &Claim{key: key, request: request + "#" + strconv.Itoa(try), window: int64(window.Seconds())}
		reply, err := c.claim(ctx, claim)
		if err != nil {
			// The claim may still land on the log. Freeing it keeps the key usable; this request never runs.
			c.Free(claim)
			return nil, nil, err
		}
		switch reply.Standing {
		case StandingOwner:
			return claim, nil, nil
		case StandingExpired:
			return nil, nil, ErrTooOld
		case StandingLost, StandingUnseen:
		}
		outcome, free := c.awaitOutcome(ctx, claim, reply)
		if !free {
			return nil, outcome, nil
		}
	}
	return nil, nil, nil
}

func (c *Client) claim(ctx context.Context, claim *Claim) (Reply, error) {
	entry := Entry{Kind: KindClaim, Key: claim.key, Request: claim.request, Holder: c.self, AtMs: time.Now().UnixMilli()}
	reply, ok := c.exchange(ctx, claim, chivewire.KindClaimWrite, Write{Slot: SlotOf(claim.key), Entry: entry, WindowS: claim.window})
	if !ok || reply.Failed {
		return Reply{}, ErrNotClaimed
	}
	return reply, nil
}

// awaitOutcome asks until the owner's end is known, the key is free again or the context ends.
func (c *Client) awaitOutcome(ctx context.Context, claim *Claim, reply Reply) (outcome *Outcome, free bool) {
	for {
		switch {
		case reply.Known:
			return &reply.Outcome, false
		case reply.Free && reply.Key != "":
			return nil, true
		}
		select {
		case <-time.After(pollOutcome):
		case <-ctx.Done():
			return nil, false
		}
		reply, _ = c.exchange(ctx, claim, chivewire.KindClaimRecord,
			Ask{Slot: SlotOf(claim.key), Key: claim.key, Request: claim.request, WindowS: claim.window})
	}
}

// exchange sends to the slot's writer and waits for the reply that carries the claim's identity.
func (c *Client) exchange(ctx context.Context, claim *Claim, kind chivewire.Kind, message any) (Reply, bool) {
	writer, ok := c.writerOf(claim.key)
	if !ok {
		return Reply{}, false
	}
	answer := make(chan Reply, 1)
	c.mu.Lock()
	c.waiting[claim.request] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, claim.request)
		c.mu.Unlock()
	}()
	if err := c.mesh.Send(writer, kind, message); err != nil {
		return Reply{}, false
	}
	select {
	case reply := <-answer:
		return reply, true
	case <-time.After(replyWait):
	case <-ctx.Done():
	}
	return Reply{}, false
}

func (c *Client) onReply(_ string, reply Reply) {
	c.mu.Lock()
	answer, ok := c.waiting[reply.Request]
	c.mu.Unlock()
	if !ok {
		return
	}
	select {
	case answer <- reply:
	default:
	}
}

func (c *Client) writerOf(key string) (string, bool) {
	owners := c.places.Load().Owners(StreamOf(SlotOf(key)))
	if len(owners) == 0 {
		return "", false
	}
	return owners[0].Address, true
}

// Finish records the outcome of a request that ran or may have run.
func (c *Client) Finish(claim *Claim, outcome Outcome) {
	outcome.Freed = false
	if len(outcome.Body) > KeepBodyBytes {
		outcome.Body, outcome.BodyLeftOut = nil, true
	}
	c.record(claim, outcome)
}

// Free records that a request certainly did not run, so that its key may be claimed again.
func (c *Client) Free(claim *Claim) {
	c.record(claim, Outcome{Freed: true})
}

func (c *Client) record(claim *Claim, outcome Outcome) {
	entry := Entry{Kind: KindOutcome, Key: claim.key, Request: claim.request, Holder: c.self, AtMs: time.Now().UnixMilli(), Outcome: outcome}
	// When the ring is full the outcome is lost: others then say "unknown" for the key, which is safe.
	c.finish.Offer(Write{Slot: SlotOf(claim.key), Entry: entry, WindowS: claim.window})
}

// writeOutcomes sends outcomes to the slots' writers and asks whether they arrived, a few times.
func (c *Client) writeOutcomes(ctx context.Context) {
	for {
		w, ok := c.finish.Take(ctx)
		if !ok {
			c.drain()
			return
		}
		c.send(w)
	}
}

func (c *Client) drain() {
	for {
		select {
		case w := <-c.finish.Ready():
			c.send(w)
		default:
			return
		}
	}
}

func (c *Client) send(w Write) {
	if writer, ok := c.writerOf(w.Entry.Key); ok {
		// When this is lost, others say "unknown" for the key, which is safe.
		_ = c.mesh.Send(writer, chivewire.KindClaimWrite, w)
	}
}

// tooOld reports whether a key that carries its own time of making, a version 7 UUID, is older than the window.
//
// The log forgets a claim after its retention time. A key that old would look new and could run a second time.
func tooOld(now time.Time, scoped string, window time.Duration) bool {
	key := scoped[max(len(scoped)-uuidLength, 0):]
	if len(key) != uuidLength || key[uuidVersion] != '7' || key[uuidSplit] != '-' {
		return false
	}
	ms, err := strconv.ParseInt(key[:uuidSplit]+key[uuidSplit+1:uuidSplitEnd], 16, 64)
	if err != nil {
		return false
	}
	return now.Sub(time.UnixMilli(ms)) > window+skewAllowed
}
