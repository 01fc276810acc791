package chivestand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chivedrift/chivelog"
)

// topicDelay is the simulated latency of a topic call.
const topicDelay = 4 * time.Millisecond

// TopicFaults are the faults injected into topic calls.
type TopicFaults struct {
	// Down makes calls fail, with a 503 answer or, if Silent is set, with none until the context ends.
	Down   bool
	Silent bool
	// LostShare is the share of appends whose answer is lost; LateShare is the share of these that is executed seconds later.
	LostShare float64
	LateShare float64
}

// Topic is an in-memory keyed topic with fault injection, shared by any number of nodes.
type Topic struct {
	mu         sync.Mutex
	random     *rand.Rand
	era        int64
	records    []chivelog.KeyedRecord
	faults     TopicFaults
	nodeFaults func(node string) TopicFaults
}

// NewTopic returns an empty topic whose random faults are determined by a seed.
func NewTopic(seed uint64) *Topic {
	return &Topic{random: rand.New(rand.NewPCG(seed, 1)), era: 1}
}

// SetFaults sets the faults of calls by all nodes.
func (t *Topic) SetFaults(faults TopicFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// SetNodeFaults sets a function that returns the faults per node and overrides SetFaults; nil removes it.
func (t *Topic) SetNodeFaults(nodeFaults func(node string) TopicFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodeFaults = nodeFaults
}

// Restore drops the newest records and starts a new era, like a restore from an older copy.
func (t *Topic) Restore(lost int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = slices.Clone(t.records[:max(len(t.records)-lost, 0)])
	t.era++
}

// For returns the topic as used by one node.
func (t *Topic) For(node string) chivelog.ConditionalTopic { return &nodeTopic{t, node} }

type nodeTopic struct {
	topic *Topic
	node  string
}

// Snapshot returns the newest record of each key.
func (n *nodeTopic) Snapshot(ctx context.Context) (chivelog.KeyedBatch, error) {
	t := n.topic
	if err := t.startCall(ctx, n.node); err != nil {
		return chivelog.KeyedBatch{}, fmt.Errorf("%w: %w", chivelog.ErrUnavailable, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := make(map[string]chivelog.KeyedRecord)
	for i, r := range t.records {
		r.Position = chivelog.NewPosition(t.era, int64(i))
		newest[r.Key] = r
	}
	batch := chivelog.KeyedBatch{Next: chivelog.NewPosition(t.era, int64(len(t.records)))}
	for _, r := range newest {
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

// Append appends a record if the topic still ends at a position.
func (n *nodeTopic) Append(ctx context.Context, end chivelog.Position, key string, value []byte) (chivelog.Position, error) {
	t := n.topic
	err := t.startCall(ctx, n.node)
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := t.faultsFor(n.node)
	switch {
	case err != nil && faults.Silent:
		return 0, fmt.Errorf("%w: %w", chivelog.ErrUnknown, err)
	case err != nil:
		return 0, fmt.Errorf("%w: %w", chivelog.ErrNotAppended, err)
	case t.random.Float64() >= faults.LostShare:
		return t.append(end, key, value)
	case t.random.Float64() < faults.LateShare:
		time.AfterFunc(time.Second+time.Duration(t.random.Int64N(int64(5*time.Second))), func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = t.append(end, key, value)
		})
	default:
		_, _ = t.append(end, key, value)
	}
	return 0, fmt.Errorf("%w: answer lost", chivelog.ErrUnknown)
}

// append writes a record if the topic ends at the offset of end, even if end belongs to an earlier era. The caller holds the lock.
func (t *Topic) append(end chivelog.Position, key string, value []byte) (chivelog.Position, error) {
	if end.Offset() != int64(len(t.records)) {
		return 0, fmt.Errorf("%w: the topic ends at %d", chivelog.ErrConflict, len(t.records))
	}
	t.records = append(t.records, chivelog.KeyedRecord{Key: key, Value: slices.Clone(value)})
	if end.Era() != t.era {
		return 0, fmt.Errorf("%w: %w", chivelog.ErrUnknown, chivelog.ErrRestored)
	}
	return end, nil
}

func (t *Topic) faultsFor(node string) TopicFaults {
	if t.nodeFaults != nil {
		return t.nodeFaults(node)
	}
	return t.faults
}

// startCall waits for the simulated latency and returns an error if the topic is down for the node.
func (t *Topic) startCall(ctx context.Context, node string) error {
	t.mu.Lock()
	faults := t.faultsFor(node)
	t.mu.Unlock()
	if faults.Down && faults.Silent {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(topicDelay):
	}
	if faults.Down {
		return fmt.Errorf("answered 503")
	}
	return nil
}
