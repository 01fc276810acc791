package chivegrant

import (
	"iter"
	"slices"

	"chivedrift/chiveplace"
)

// maxLeafItems is the maximum number of items in a leaf. With evenly distributed hashes a leaf holds two thirds of that
// on average.
const maxLeafItems = 12

// hashPrefix identifies a trie node by the leading hash bits common to its items, preceded by a 1 bit that marks the
// length.
type hashPrefix uint64

// rootPrefix is the empty prefix.
const rootPrefix hashPrefix = 1

func (p hashPrefix) child(high bool) hashPrefix {
	if high {
		return p<<1 | 1
	}
	return p << 1
}

// item is an element of a trie with the hash that identifies it.
type item[E any] struct {
	hash    uint64
	element E
}

// trieNode is a node of an immutable binary trie of elements, indexed by the bits of their hashes. A node with at most
// maxLeafItems items is a leaf, so that the shape depends only on the elements and not on the order of insertion. An
// update copies the nodes on the path to one leaf. The empty trie is nil.
type trieNode[E any] struct {
	count int
	// low and high are nil in a leaf; items is nil in an inner node.
	low   *trieNode[E]
	high  *trieNode[E]
	items []item[E]
}

// size returns the number of elements.
func (n *trieNode[E]) size() int {
	if n == nil {
		return 0
	}
	return n.count
}

func (n *trieNode[E]) isLeaf() bool { return n == nil || n.low == nil && n.high == nil }

// child returns one of the subtrees of an inner node.
func (n *trieNode[E]) child(high bool) *trieNode[E] {
	if high {
		return n.high
	}
	return n.low
}

// bitAt returns the bit of a hash that selects the child at a depth.
func bitAt(hash uint64, depth int) bool { return hash>>(63-depth)&1 == 1 }

// insert returns the trie with an element added, replacing an element with the same hash.
func (n *trieNode[E]) insert(hash uint64, element E, depth int) *trieNode[E] {
	if n.isLeaf() {
		return newTrie(withItem(n.all(), item[E]{hash, element}), depth)
	}
	low, high := n.low, n.high
	if bitAt(hash, depth) {
		high = high.insert(hash, element, depth+1)
	} else {
		low = low.insert(hash, element, depth+1)
	}
	return &trieNode[E]{count: low.size() + high.size(), low: low, high: high}
}

// remove returns the trie without the element that has a hash.
func (n *trieNode[E]) remove(hash uint64, depth int) *trieNode[E] {
	if n.isLeaf() {
		items := slices.DeleteFunc(slices.Clone(n.all()), func(it item[E]) bool { return it.hash == hash })
		return newTrie(items, depth)
	}
	low, high := n.low, n.high
	if bitAt(hash, depth) {
		high = high.remove(hash, depth+1)
	} else {
		low = low.remove(hash, depth+1)
	}
	if low.size()+high.size() <= maxLeafItems {
		return newTrie(slices.Concat(low.all(), high.all()), depth)
	}
	return &trieNode[E]{count: low.size() + high.size(), low: low, high: high}
}

// newTrie builds a trie from items sorted by hash.
func newTrie[E any](items []item[E], depth int) *trieNode[E] {
	if len(items) == 0 {
		return nil
	}
	if len(items) <= maxLeafItems {
		return &trieNode[E]{count: len(items), items: items}
	}
	split := slices.IndexFunc(items, func(it item[E]) bool { return bitAt(it.hash, depth) })
	if split < 0 {
		split = len(items)
	}
	return &trieNode[E]{count: len(items), low: newTrie(items[:split:split], depth+1), high: newTrie(items[split:], depth+1)}
}

// withItem returns a copy of sorted items with one item inserted or replaced.
func withItem[E any](items []item[E], added item[E]) []item[E] {
	index, found := slices.BinarySearchFunc(items, added.hash, func(it item[E], hash uint64) int {
		switch {
		case it.hash < hash:
			return -1
		case it.hash > hash:
			return 1
		}
		return 0
	})
	if found {
		items = slices.Clone(items)
		items[index] = added
		return items
	}
	return slices.Insert(slices.Clone(items), index, added)
}

// all returns the items of a subtree, sorted by hash. The caller must not modify the result.
func (n *trieNode[E]) all() []item[E] {
	switch {
	case n == nil:
		return nil
	case n.isLeaf():
		return n.items
	}
	return slices.Concat(n.low.all(), n.high.all())
}

// find returns the element that has a hash.
func (n *trieNode[E]) find(hash uint64) (element E, ok bool) {
	leaf, _ := n.leafFor(hash)
	for _, it := range leaf.all() {
		if it.hash == hash {
			return it.element, true
		}
	}
	return element, false
}

// leafFor returns the leaf that a hash belongs to, and the prefix of that leaf.
func (n *trieNode[E]) leafFor(hash uint64) (leaf *trieNode[E], prefix hashPrefix) {
	prefix = rootPrefix
	for depth := 0; !n.isLeaf(); depth++ {
		high := bitAt(hash, depth)
		prefix = prefix.child(high)
		n = n.child(high)
	}
	return n, prefix
}

// subtree returns the subtree with a prefix, or the leaf that covers the prefix if the trie ends above it.
func (n *trieNode[E]) subtree(prefix hashPrefix) *trieNode[E] {
	depth := prefix.bits()
	for i := depth - 1; i >= 0 && !n.isLeaf(); i-- {
		n = n.child(prefix>>i&1 == 1)
	}
	return n
}

// bits returns the length of the prefix in bits.
func (p hashPrefix) bits() int {
	bits := 0
	for ; p > rootPrefix; p >>= 1 {
		bits++
	}
	return bits
}

// selectLeaf returns the leaf that a key maps to, and its prefix. The probability of a leaf is proportional to its
// number of elements, so that one more element remaps only about the share of keys that it receives.
func (n *trieNode[E]) selectLeaf(key uint64) (leaf *trieNode[E], prefix hashPrefix) {
	prefix = rootPrefix
	for !n.isLeaf() {
		high := fraction(chiveplace.Weigh(key, uint64(prefix)))*float64(n.count) >= float64(n.low.size())
		prefix = prefix.child(high)
		n = n.child(high)
	}
	return n, prefix
}

// fraction maps a hash to a number from 0 to 1. A float64 represents integers of 53 bits exactly.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// selectElement returns the element that a key maps to: the one with the highest rendezvous hash in the leaf of the
// key.
func (n *trieNode[E]) selectElement(key uint64) (element E, ok bool) {
	leaf, _ := n.selectLeaf(key)
	var highest uint64
	for _, it := range leaf.all() {
		if weight := chiveplace.Weigh(it.hash, key); !ok || weight > highest {
			element, highest, ok = it.element, weight, true
		}
	}
	return element, ok
}

// leaves iterates over the non-empty leaves and their prefixes, in the order of their hashes.
func (n *trieNode[E]) leaves(prefix hashPrefix) iter.Seq2[hashPrefix, *trieNode[E]] {
	return func(yield func(hashPrefix, *trieNode[E]) bool) { n.walk(prefix, yield) }
}

func (n *trieNode[E]) walk(prefix hashPrefix, yield func(hashPrefix, *trieNode[E]) bool) bool {
	switch {
	case n == nil:
		return true
	case n.isLeaf():
		return yield(prefix, n)
	}
	return n.low.walk(prefix.child(false), yield) && n.high.walk(prefix.child(true), yield)
}
