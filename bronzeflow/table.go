package bronzeflow

import "sync/atomic"

// DefaultCapacity is the bound of a Table that sets none.
const DefaultCapacity = 1 << 20

// Shards is how many parts a Table has, each under its own lock.
const Shards = 256

// shardShift leaves the bits of a hash that choose the shard.
const shardShift = 64 - 8

// Table remembers the entries of many flows. The zero value is an empty
// table, and all methods may be called by several goroutines at once. Every
// method that takes a key takes its Hash too, which callers have already. A
// Table must not be copied after use.
//
// It holds no pointers to entries, so the garbage collector never walks over
// them, and costs under 100 bytes for each flow. Memory that it has grown to
// is kept for later flows.
type Table struct {
	// Capacity is the most entries that the table holds; 0 means
	// DefaultCapacity. Set it before use.
	Capacity int
	// OnEvict, if set, is called with each entry that gave way to another
	// one. No lock is held then. Set it before use.
	OnEvict func(k Key, e Entry)

	count atomic.Int64
	// Insertions write count; it must not share the first shard's lines.
	_      [cacheLines]byte
	shards [Shards]paddedShard
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return int(t.count.Load())
}

// Get returns the entry of k as it is.
func (t *Table) Get(k *Key, hash uint64) (e Entry, ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(k, hash)
	if i == none {
		return Entry{}, false
	}
	return s.at(i).entry, true
}

// Touch returns the entry of k as it was, and sets its Used to now.
func (t *Table) Touch(k *Key, hash uint64, now uint32) (e Entry, ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	i := s.find(k, hash)
	if i == none {
		s.mu.Unlock()
		return Entry{}, false
	}
	p := &s.at(i).entry
	e = *p
	// Most packets come within the same second as the last one; the write
	// that is left out keeps the cache line clean for other processors.
	if e.Used != now {
		p.Used = now
	}
	s.mu.Unlock()
	return e, true
}

// Put inserts or replaces the entry of k. In a full table an insertion evicts
// an entry of k's shard: one that is Pending, else one that is Closed, else
// one that isn't Owned, and of a few of these the one with the lowest Used.
// If there is none, Put changes nothing and returns false: an Owned
// Established entry is never evicted, because its flow would break.
func (t *Table) Put(k *Key, hash uint64, e Entry) (ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	if i := s.find(k, hash); i != none {
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
	if i == none {
		s.mu.Unlock()
		return false
	}
	old := *s.at(i)
	s.remove(i)
	s.insert(k, hash, e)
	s.mu.Unlock()
	// The lock is released first: a callback that used the table would wait
	// for its own lock for ever.
	if t.OnEvict != nil {
		t.OnEvict(old.key, old.entry)
	}
	return true
}

// reserve counts one more entry if there is room for it.
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
	if i == none {
		return Entry{}, false
	}
	e = s.at(i).entry
	s.remove(i)
	t.count.Add(-1)
	return e, true
}

// Update lets f change the entry of k in place. It returns false, without a
// call of f, when there is none. A lock is held during f, which must not call
// the table.
func (t *Table) Update(k *Key, hash uint64, f func(e *Entry)) (ok bool) {
	s := t.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.find(k, hash)
	if i == none {
		return false
	}
	f(&s.at(i).entry)
	s.reclassify(i)
	return true
}

// Range calls f for each entry, shard by shard, and deletes those for which f
// returns false. Entries that others insert or delete meanwhile may be seen
// or not. A lock is held during f, which must neither call the table nor keep
// or change k.
func (t *Table) Range(f func(k *Key, e Entry) (keep bool)) {
	for i := range Shards {
		t.RangeShard(i, f)
	}
}

// RangeShard is Range over one shard, with i in [0, Shards), so that the work
// of expiry can be spread over time.
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
