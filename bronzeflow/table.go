package bronzeflow

import "sync/atomic"

// DefaultCapacity is used if Table.Capacity is 0.
const DefaultCapacity = 1 << 20

// Shards is the number of parts of a Table, each with its own lock.
const Shards = 256

// shardShift reduces a hash to the bits that select the shard.
const shardShift = 64 - 8

// Table holds the entries of many flows. The zero value is an empty table, and
// all methods are safe for concurrent use. Every method that takes a key also
// takes its Hash, which callers have computed already. A Table must not be
// copied after first use.
//
// Entries hold no pointers, so the garbage collector never scans them. Each flow
// takes less than 100 bytes. The table never shrinks; it reuses the memory of
// deleted entries.
type Table struct {
	// Capacity is the maximum number of entries; 0 means DefaultCapacity. Set
	// it before first use.
	Capacity int
	// OnEvict, if set, is called with each evicted entry, without holding a
	// lock. Set it before first use.
	OnEvict func(k Key, e Entry)

	count atomic.Int64
	// Insertions write count, so it must not share cache lines with the first
	// shard.
	_      [cacheLinePair]byte
	shards [Shards]paddedShard
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return int(t.count.Load())
}

// Get returns the entry of k.
func (t *Table) Get(k *Key, hash uint64) (e Entry, ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(k, hash)
	if i == noSlot {
		return Entry{}, false
	}
	return s.at(i).entry, true
}

// Touch returns the entry of k as it was, and sets the Used of the stored one
// to now.
func (t *Table) Touch(k *Key, hash uint64, now uint32) (e Entry, ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	i := s.find(k, hash)
	if i == noSlot {
		s.mu.Unlock()
		return Entry{}, false
	}
	p := &s.at(i).entry
	e = *p
	// Most packets come in the same second as the previous one. Skipping the
	// write keeps the cache line unmodified for other processors.
	if e.Used != now {
		p.Used = now
	}
	s.mu.Unlock()
	return e, true
}

// Put inserts or replaces the entry of k. If the table is full, an insertion
// evicts an entry of k's shard: one that is Pending, else one that is Closed,
// else one that isn't Owned. Among a few of that class it evicts the one with
// the lowest Used. If there is none, Put changes nothing and returns false: an
// entry that is Owned and Established is never evicted, since its flow would
// break.
func (t *Table) Put(k *Key, hash uint64, e Entry) (ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	if i := s.find(k, hash); i != noSlot {
		s.at(i).entry = e
		s.reclassify(i)
		s.mu.Unlock()
		return true
	}
	if t.reserve() {
		s.insert(k, hash, e)
		s.mu.Unlock()
		return true
	}
	i := s.victim()
	if i == noSlot {
		s.mu.Unlock()
		return false
	}
	old := *s.at(i)
	s.remove(i)
	s.insert(k, hash, e)
	s.mu.Unlock()
	// The lock is released first: a callback that uses the table would
	// deadlock.
	if t.OnEvict != nil {
		t.OnEvict(old.key, old.entry)
	}
	return true
}

// reserve counts one more entry, and returns false if the table is full.
func (t *Table) reserve() bool {
	if t.count.Add(1) <= t.capacity() {
		return true
	}
	t.count.Add(-1)
	return false
}

func (t *Table) capacity() int64 {
	if t.Capacity <= 0 {
		return DefaultCapacity
	}
	return int64(t.Capacity)
}

// Delete removes the entry of k and returns it.
func (t *Table) Delete(k *Key, hash uint64) (e Entry, ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(k, hash)
	if i == noSlot {
		return Entry{}, false
	}
	e = s.at(i).entry
	s.remove(i)
	t.count.Add(-1)
	return e, true
}

// Update calls f to change the entry of k in place. If there is none, it returns
// false without calling f. A lock is held during the call, so f must not use the
// table.
func (t *Table) Update(k *Key, hash uint64, f func(e *Entry)) (ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(k, hash)
	if i == noSlot {
		return false
	}
	f(&s.at(i).entry)
	s.reclassify(i)
	return true
}

// Range calls f for each entry, shard by shard, and deletes those for which f
// returns false. Entries that are inserted or deleted concurrently may be
// visited or not. A lock is held during each call, so f must not use the table,
// and it must neither keep nor change k.
func (t *Table) Range(f func(k *Key, e Entry) (keep bool)) {
	for i := range Shards {
		t.RangeShard(i, f)
	}
}

// RangeShard is Range for the shard i only, with i in [0, Shards), so that the
// work of expiry can be spread over time.
func (t *Table) RangeShard(i int, f func(k *Key, e Entry) (keep bool)) {
	s := &t.shards[i].shard
	s.mu.Lock()
	defer s.mu.Unlock()
	for j := range s.used {
		p := s.at(j)
		if !p.live || f(&p.key, p.entry) {
			continue
		}
		s.remove(j)
		t.count.Add(-1)
	}
}

func (t *Table) shard(hash uint64) *shard {
	return &t.shards[hash>>shardShift].shard
}
