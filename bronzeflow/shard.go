package bronzeflow

import (
	"math/rand/v2"
	"sync"
	"unsafe"
)

// A shard's slots are allocated in blocks of blockLen.
const (
	blockShift = 7
	blockLen   = 1 << blockShift
	blockMask  = blockLen - 1
)

const (
	// initialIndexLen is the length of a shard's first index. The length is
	// always a power of two.
	initialIndexLen = 8
	// The index is doubled when maxLoadNum/maxLoadDen of it is in use.
	maxLoadNum = 3
	maxLoadDen = 4
)

// noSlot is the slot number returned if there is no slot.
const noSlot int32 = -1

// cacheLinePair is the size of two cache lines, which processors fetch in
// pairs. If the locks of two shards shared a pair, processors that work on
// different shards would slow each other down.
const cacheLinePair = 128

// paddedShard is a shard padded to whole pairs of cache lines.
type paddedShard struct {
	shard
	_ [cacheLinePair - unsafe.Sizeof(shard{})%cacheLinePair]byte
}

// shard is a hash table with linear probing. It has an index of small refs and
// slots that never move, so that a hit usually reads one cache line of the index
// and one slot.
type shard struct {
	mu sync.Mutex
	// seed makes the index differ between processes, so that nobody can choose
	// addresses and ports of flows that all collide.
	seed   uint64
	index  []ref
	blocks []*block
	// used is the number of slots that have ever been in use, live the number
	// in use now.
	used, live int32
	// free is the first slot of the free list plus one, or 0.
	free int32
	// rings hold the slots that can be evicted, by class.
	rings [evictableClasses]ring
}

// ref is an element of the index. Its probing starts at the low bits of tag.
type ref struct {
	// tag is part of the seeded hash. Comparing it avoids most reads of
	// slots, and growing the index reads none.
	tag uint32
	// slot is the slot's number plus one, or 0 if the element is empty.
	slot int32
}

// block keeps the slots, which every packet reads, apart from the links, which
// only insertions, removals and changes of class need.
type block struct {
	slots [blockLen]slot
	links [blockLen]link
}

// slot holds one entry. It fills a cache line.
type slot struct {
	entry Entry
	key   Key
	class class
	live  bool
}

// link holds the tag of a slot and its neighbors in the ring of its class.
type link struct {
	tag   uint32
	older int32
	// newer is, for a slot in the free list, the next free slot plus one, or
	// 0.
	newer int32
}

func (s *shard) at(i int32) *slot {
	return &s.blocks[i>>blockShift].slots[i&blockMask]
}

func (s *shard) link(i int32) *link {
	return &s.blocks[i>>blockShift].links[i&blockMask]
}

func (s *shard) tag(hash uint64) uint32 {
	return uint32(Mix(hash, s.seed))
}

func (s *shard) find(k *Key, hash uint64) int32 {
	if len(s.index) == 0 {
		return noSlot
	}
	tag := s.tag(hash)
	mask := uint32(len(s.index) - 1)
	for j := tag & mask; ; j = (j + 1) & mask {
		r := s.index[j]
		if r.slot == 0 {
			return noSlot
		}
		if r.tag == tag && s.at(r.slot-1).key == *k {
			return r.slot - 1
		}
	}
}

// insert adds an entry whose key isn't in the shard.
func (s *shard) insert(k *Key, hash uint64, e Entry) {
	if int(s.live)*maxLoadDen >= len(s.index)*maxLoadNum {
		s.grow()
	}
	i := s.allocate()
	c := classOf(&e)
	*s.at(i) = slot{entry: e, key: *k, class: c, live: true}
	tag := s.tag(hash)
	s.link(i).tag = tag
	s.insertRef(ref{tag: tag, slot: i + 1})
	s.live++
	s.addToRing(i, c)
}

// insertRef puts r into the first empty element of its probe sequence.
func (s *shard) insertRef(r ref) {
	mask := uint32(len(s.index) - 1)
	j := r.tag & mask
	for s.index[j].slot != 0 {
		j = (j + 1) & mask
	}
	s.index[j] = r
}

func (s *shard) allocate() int32 {
	if s.free != 0 {
		i := s.free - 1
		s.free = s.link(i).newer
		return i
	}
	if int(s.used) == len(s.blocks)*blockLen {
		s.blocks = append(s.blocks, new(block))
	}
	i := s.used
	s.used++
	return i
}

// remove frees slot i, which is live.
func (s *shard) remove(i int32) {
	s.removeFromRing(i)
	s.removeRef(i)
	*s.at(i) = slot{}
	*s.link(i) = link{newer: s.free}
	s.free = i + 1
	s.live--
}

// removeRef removes slot i from the index, and moves later refs into the gap
// where a search for them would otherwise stop at it.
func (s *shard) removeRef(i int32) {
	mask := uint32(len(s.index) - 1)
	gap := s.link(i).tag & mask
	for s.index[gap].slot != i+1 {
		gap = (gap + 1) & mask
	}
	for j := (gap + 1) & mask; s.index[j].slot != 0; j = (j + 1) & mask {
		home := s.index[j].tag & mask
		if (j-home)&mask >= (j-gap)&mask {
			s.index[gap] = s.index[j]
			gap = j
		}
	}
	s.index[gap] = ref{}
}

func (s *shard) grow() {
	old := s.index
	if len(old) == 0 {
		s.seed = rand.Uint64()
	}
	s.index = make([]ref, max(initialIndexLen, 2*len(old)))
	for _, r := range old {
		if r.slot != 0 {
			s.insertRef(r)
		}
	}
}
