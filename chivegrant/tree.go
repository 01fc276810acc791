package chivegrant

import (
	"iter"
	"slices"

	"chivedrift/chiveplace"
)

// leafMost is the most elements in a leaf of a tree. Leaves of hashes that are spread evenly hold two thirds of it in the mean.
const leafMost = 12

// prefix names a node of a tree by the leading bits of the hashes below it, behind a first bit that is 1.
type prefix uint64

// rootPrefix is the prefix of no bits.
const rootPrefix prefix = 1

func (p prefix) child(high bool) prefix {
	if high {
		return p<<1 | 1
	}
	return p << 1
}

// item is an element of a tree with its hash, which identifies it.
type item[E any] struct {
	hash    uint64
	element E
}

// branch is a node of an immutable binary tree of elements by the bits of their hashes. A node with leafMost elements or fewer is a leaf, so that
// the shape depends on the elements alone and not on the order in which they came. A change copies the nodes on the way to one leaf. The
// empty tree is nil.
type branch[E any] struct {
	count int
	// low and high are nil in a leaf, items is nil elsewhere.
	low   *branch[E]
	high  *branch[E]
	items []item[E]
}

// size returns the number of elements.
func (b *branch[E]) size() int {
	if b == nil {
		return 0
	}
	return b.count
}

func (b *branch[E]) isLeaf() bool { return b == nil || b.low == nil && b.high == nil }

// child returns one of the two subtrees of a node that is not a leaf.
func (b *branch[E]) child(high bool) *branch[E] {
	if high {
		return b.high
	}
	return b.low
}

// bitOf returns the bit of a hash that decides at a depth.
func bitOf(hash uint64, depth int) bool { return hash>>(63-depth)&1 == 1 }

// insert returns the tree with an element, which replaces one of the same hash.
func (b *branch[E]) insert(hash uint64, element E, depth int) *branch[E] {
	if b.isLeaf() {
		return newBranch(withItem(b.all(), item[E]{hash, element}), depth)
	}
	low, high := b.low, b.high
	if bitOf(hash, depth) {
		high = high.insert(hash, element, depth+1)
	} else {
		low = low.insert(hash, element, depth+1)
	}
	return &branch[E]{count: low.size() + high.size(), low: low, high: high}
}

// remove returns the tree without the element of a hash.
func (b *branch[E]) remove(hash uint64, depth int) *branch[E] {
	if b.isLeaf() {
		items := slices.DeleteFunc(slices.Clone(b.all()), func(i item[E]) bool { return i.hash == hash })
		return newBranch(items, depth)
	}
	low, high := b.low, b.high
	if bitOf(hash, depth) {
		high = high.remove(hash, depth+1)
	} else {
		low = low.remove(hash, depth+1)
	}
	if low.size()+high.size() <= leafMost {
		return newBranch(slices.Concat(low.all(), high.all()), depth)
	}
	return &branch[E]{count: low.size() + high.size(), low: low, high: high}
}

// newBranch makes a tree of items in order of their hashes.
func newBranch[E any](items []item[E], depth int) *branch[E] {
	if len(items) == 0 {
		return nil
	}
	if len(items) <= leafMost {
		return &branch[E]{count: len(items), items: items}
	}
	cut := slices.IndexFunc(items, func(i item[E]) bool { return bitOf(i.hash, depth) })
	if cut < 0 {
		cut = len(items)
	}
	return &branch[E]{count: len(items), low: newBranch(items[:cut:cut], depth+1), high: newBranch(items[cut:], depth+1)}
}

// withItem returns a copy of sorted items with another one.
func withItem[E any](items []item[E], added item[E]) []item[E] {
	at, found := slices.BinarySearchFunc(items, added.hash, func(i item[E], hash uint64) int {
		switch {
		case i.hash < hash:
			return -1
		case i.hash > hash:
			return 1
		}
		return 0
	})
	if found {
		items = slices.Clone(items)
		items[at] = added
		return items
	}
	return slices.Insert(slices.Clone(items), at, added)
}

// all returns the items of a leaf or of a subtree, in order of their hashes; the caller does not change them.
func (b *branch[E]) all() []item[E] {
	switch {
	case b == nil:
		return nil
	case b.isLeaf():
		return b.items
	}
	return slices.Concat(b.low.all(), b.high.all())
}

// find returns the element of a hash.
func (b *branch[E]) find(hash uint64) (element E, ok bool) {
	leaf, _ := b.leafOf(hash)
	for _, i := range leaf.all() {
		if i.hash == hash {
			return i.element, true
		}
	}
	return element, false
}

// leafOf returns the leaf in which a hash is or would be, and its prefix.
func (b *branch[E]) leafOf(hash uint64) (leaf *branch[E], at prefix) {
	at = rootPrefix
	for depth := 0; !b.isLeaf(); depth++ {
		high := bitOf(hash, depth)
		at = at.child(high)
		b = b.child(high)
	}
	return b, at
}

// under returns the subtree with a prefix, or the leaf that covers it.
func (b *branch[E]) under(wanted prefix) *branch[E] {
	depth := wanted.bits()
	for i := depth - 1; i >= 0 && !b.isLeaf(); i-- {
		b = b.child(wanted>>i&1 == 1)
	}
	return b
}

// bits returns the number of bits of a prefix.
func (p prefix) bits() int {
	bits := 0
	for ; p > rootPrefix; p >>= 1 {
		bits++
	}
	return bits
}

// draw returns the leaf that a key falls to, with a chance by the number of its elements. One more element moves about as many keys as it takes.
func (b *branch[E]) draw(key uint64) (leaf *branch[E], at prefix) {
	at = rootPrefix
	for !b.isLeaf() {
		// 53 bits are what a float64 holds.
		point := float64(chiveplace.Weigh(key, uint64(at))>>11) / (1 << 53)
		high := point*float64(b.count) >= float64(b.low.size())
		at = at.child(high)
		b = b.child(high)
	}
	return b, at
}

// drawItem returns the element that a key falls to.
func (b *branch[E]) drawItem(key uint64) (element E, ok bool) {
	leaf, _ := b.draw(key)
	var highest uint64
	for _, i := range leaf.all() {
		if weight := chiveplace.Weigh(i.hash, key); !ok || weight > highest {
			element, highest, ok = i.element, weight, true
		}
	}
	return element, ok
}

// leaves yields the leaves that are not empty with their prefixes, in order of their hashes.
func (b *branch[E]) leaves(at prefix) iter.Seq2[prefix, *branch[E]] {
	return func(yield func(prefix, *branch[E]) bool) { b.walk(at, yield) }
}

func (b *branch[E]) walk(at prefix, yield func(prefix, *branch[E]) bool) bool {
	switch {
	case b == nil:
		return true
	case b.isLeaf():
		return yield(at, b)
	}
	return b.low.walk(at.child(false), yield) && b.high.walk(at.child(true), yield)
}
