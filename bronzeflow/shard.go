package bronzeflow

import (
	"math/rand/v2"
	"sync"
	"unsafe"
)

// A block is what a shard's slots grow by.
const (
	blockShift = 7
	blockLen   = 1 << blockShift
	blockMask  = blockLen - 1
)

const (
	// firstRefs is the length of a shard's first index; a power of two, as
	// all later ones.
	firstRefs = 8
	// An index is doubled when more than maxLoad in maxLoadOf is in use.
	maxLoad   = 3
	maxLoadOf = 4
)

// none is the number of no slot.
const none int32 = -1

// A shard's lock must not share a cache line with another shard's, or
// processors that work on different shards slow each other down. Processors
// fetch lines in pairs.
const cacheLines = 128

// paddedShard fills whole pairs of cache lines.
type paddedShard struct {
	shard
	_ [cacheLines - unsafe.Sizeof(shard{})%cacheLines]byte
}

// shard is a hash table with linear probing: an index of small refs, and
// slots that never move. A hit reads one line of the index and one slot.
type shard struct {
	mu sync.Mutex
	// seed varies the index between processes: who chooses the ports and
	// addresses of flows can't choose them so that all meet in one place.
	seed   uint64
	index  []ref
	blocks []*block
	// used is how many slots were ever in use, live how many are now.
	used, live int32
	// free is the first slot of the free list, plus one.
	free int32
	// rings hold the slots that may be evicted, by class.
	rings [classes]ring
}

// ref is a place in the index. Its home is the low bits of tag.
type ref struct {
	// tag is part of the seeded hash. It spares most reads of slots, and
	// all of them when the index grows.
	tag uint32
	// slot is the slot's number plus one, 0 if the place is empty.
	slot int32
}

// block keeps what every packet reads, the slots, apart from what only
// insertions and removals need.
type block struct {
	slots [blockLen]slot
	links [blockLen]link
}

// slot is the place of one entry. It fills a cache line.
type slot struct {
	entry Entry
	key   Key
	class class
	live  bool
}

// link holds the neighbours of a slot in the ring of its class.
type link struct {
	tag   uint32
	older int32
	// newer is, for a slot in the free list, the next one plus one.
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
		return none
	}
	tag := s.tag(hash)
	mask := uint32(len(s.index) - 1)
	for j := tag & mask; ; j = (j + 1) & mask {
		r := s.index[j]
		if r.slot == 0 {
			return none
		}
		if r.tag == tag && s.at(r.slot-1).key == *k {
			return r.slot - 1
		}
	}
}

// insert adds an entry whose key isn't there.
func (s *shard) insert(k *Key, hash uint64, e Entry) {
	if int(s.live)*maxLoadOf >= len(s.index)*maxLoad {
		s.grow()
	}
	i := s.allocate()
	c := classOf(&e)
	*s.at(i) = slot{entry: e, key: *k, class: c, live: true}
	tag := s.tag(hash)
	s.link(i).tag = tag
	s.place(ref{tag: tag, slot: i + 1})
	s.live++
	s.join(i, c)
}

// place puts r in the first empty place from its home on.
func (s *shard) place(r ref) {
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
	s.leave(i)
	s.displace(i)
	*s.at(i) = slot{}
	*s.link(i) = link{newer: s.free}
	s.free = i + 1
	s.live--
}

// displace takes slot i out of the index, and moves the refs behind it
// forward where a search would otherwise stop at the gap.
func (s *shard) displace(i int32) {
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
	s.index = make([]ref, max(firstRefs, 2*len(old)))
	for _, r := range old {
		if r.slot != 0 {
			s.place(r)
		}
	}
}
