package main

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"time"

	"dotterelmount.example/lib/work"
	"dotterelmount.example/standin/engine/tokens"
)

// maxCacheEvents is the number of cache events kept; older ones are dropped.
const maxCacheEvents = 10000

// prefixCache is an LRU cache of prompt prefixes with a log of its changes.
type prefixCache struct {
	limit    int           // entries; zero: no caching
	lag      time.Duration // delay until an event can be read
	gapEvery uint64        // every n-th event is lost; zero: none
	lru      *list.List    // prefix hashes (uint64), most recently used first
	entries  map[uint64]*list.Element
	seq      uint64 // of the last event, lost ones included
	events   []timedEvent
}

type timedEvent struct {
	cacheEvent
	visibleAt time.Time
}

func newPrefixCache(limit int, lag time.Duration, gapEvery uint64) *prefixCache {
	return &prefixCache{limit: limit, lag: lag, gapEvery: gapEvery, lru: list.New(), entries: make(map[uint64]*list.Element)}
}

// access looks up the prompt's prefixes, adds those that are missing, and returns
// how many of the prompt's tokens were not cached.
func (c *prefixCache) access(now time.Time, messages []work.Message) int {
	h := fnv.New64a()
	uncached := 0
	for i, m := range messages {
		if i > 0 {
			_, _ = h.Write([]byte("\n"))
		}
		_, _ = h.Write([]byte(m.Content))
		if !c.touch(now, h.Sum64()) {
			uncached += tokens.Count(m.Content)
		}
	}
	return uncached
}

// touch reports whether the prefix is cached. It marks it as the most recently
// used one, or adds it and evicts the least recently used one if the cache is full.
func (c *prefixCache) touch(now time.Time, prefix uint64) bool {
	if e, ok := c.entries[prefix]; ok {
		c.lru.MoveToFront(e)
		return true
	}
	if c.limit <= 0 {
		return false
	}
	c.entries[prefix] = c.lru.PushFront(prefix)
	c.record(now, "stored", prefix)
	if c.lru.Len() > c.limit {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.entries, oldest)
		c.record(now, "removed", oldest)
	}
	return false
}

// record appends an event to the log. Every gapEvery-th event is lost.
func (c *prefixCache) record(now time.Time, kind string, prefix uint64) {
	c.seq++
	if c.gapEvery > 0 && c.seq%c.gapEvery == 0 {
		return
	}
	event := cacheEvent{Seq: c.seq, Type: kind, Prefix: fmt.Sprintf("%016x", prefix)}
	c.events = append(c.events, timedEvent{cacheEvent: event, visibleAt: now.Add(c.lag)})
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// eventsFrom returns the events from a sequence number on that are at least as
// old as the lag.
func (c *prefixCache) eventsFrom(now time.Time, from uint64) cacheEventsBody {
	body := cacheEventsBody{Events: []cacheEvent{}, Next: max(1, from)}
	for _, e := range c.events {
		if e.Seq >= from && !now.Before(e.visibleAt) {
			body.Events = append(body.Events, e.cacheEvent)
			body.Next = e.Seq + 1
		}
	}
	return body
}
