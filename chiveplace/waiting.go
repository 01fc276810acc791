package chiveplace

import "chivedrift/chivetable"

// Engines read the prompts of the urgent first, whatever came before them: on a pool with a third of its engines the most urgent
// had their first event at 120 tokens a millisecond of what waited in all, three times what an engine reads. So what a
// request has to wait for is what waits there of its own rank and those above; counting all of it would
// refuse the urgent for the sake of those that stand behind them.

// waitingRanks is how many ranks waiting tokens are told apart by; more share a number.
const waitingRanks = 10

// byRank counts waiting prompt tokens by rank, the most urgent first; ranks at the end that have none may be left out.
type byRank []int64

// add counts tokens of a rank.
func (b byRank) add(rank chivetable.Rank, tokens int64) byRank {
	place := rank.Scaled(waitingRanks)
	for len(b) <= place {
		b = append(b, 0)
	}
	b[place] += tokens
	return b
}

// replace takes out what one node had told and puts in what it tells now.
func (b byRank) replace(before, now byRank) byRank {
	for len(b) < max(len(before), len(now)) {
		b = append(b, 0)
	}
	for i, n := range before {
		b[i] -= n
	}
	for i, n := range now {
		b[i] += n
	}
	return b
}

// upTo returns the tokens of a rank and all above it.
func (b byRank) upTo(rank chivetable.Rank) (sum int64) {
	for _, n := range b[:min(rank.Scaled(waitingRanks)+1, len(b))] {
		sum += n
	}
	return sum
}

// total returns the tokens of all ranks.
func (b byRank) total() (sum int64) {
	for _, n := range b {
		sum += n
	}
	return sum
}

// trimmed returns a copy without the empty ranks at the end, as other nodes are told.
func (b byRank) trimmed() byRank {
	last := len(b)
	for last > 0 && b[last-1] == 0 {
		last--
	}
	return append(byRank(nil), b[:last]...)
}
