package chiveplace

import "chivedrift/chivetable"

// Engines prefill urgent prompts first, whatever arrived before them: on a pool with a third of its engines the most
// urgent requests got their first event as if the queue of all ranks were prefilled at 120 tokens a millisecond, three
// times the rate of an engine. So a request waits only for the queued tokens of its own rank and of higher ones. If all
// of them counted, urgent requests would be refused because of requests that are queued behind them.

// rankBuckets is the number of buckets for queued tokens; with more ranks than that, several share a bucket.
const rankBuckets = 10

// tokensByRank counts queued prompt tokens by rank, the most urgent first. Empty ranks at the end may be omitted.
type tokensByRank []int64

// add adds tokens of a rank.
func (t tokensByRank) add(rank chivetable.Rank, tokens int64) tokensByRank {
	bucket := rank.Scaled(rankBuckets)
	for len(t) <= bucket {
		t = append(t, 0)
	}
	t[bucket] += tokens
	return t
}

// replace subtracts the previous report of a node and adds its new one.
func (t tokensByRank) replace(before, after tokensByRank) tokensByRank {
	for len(t) < max(len(before), len(after)) {
		t = append(t, 0)
	}
	for i, n := range before {
		t[i] -= n
	}
	for i, n := range after {
		t[i] += n
	}
	return t
}

// upTo returns the tokens of a rank and all higher ones.
func (t tokensByRank) upTo(rank chivetable.Rank) (sum int64) {
	for _, n := range t[:min(rank.Scaled(rankBuckets)+1, len(t))] {
		sum += n
	}
	return sum
}

// total returns the tokens of all ranks.
func (t tokensByRank) total() (sum int64) {
	for _, n := range t {
		sum += n
	}
	return sum
}

// trimmed returns a copy without the empty ranks at the end, as it is reported to other nodes.
func (t tokensByRank) trimmed() tokensByRank {
	length := len(t)
	for length > 0 && t[length-1] == 0 {
		length--
	}
	return append(tokensByRank(nil), t[:length]...)
}
