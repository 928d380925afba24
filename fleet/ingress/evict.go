package ingress

import (
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/memory"
)

const (
	// connBytes is the memory of a connection without a call: its buffers and the stack of its goroutine.
	connBytes = 8 << 10
	// callHeadBytes is the size of a header whose memory counts with the call's.
	callHeadBytes = 4 << 10
	// headFactor is the memory that a byte of a header takes at most: of a short field, mostly for the
	// map of fields and the name.
	headFactor = 25
	// fieldBytes is the memory of a header field besides its name and value.
	fieldBytes = 100

	// unreadTimeout is how long a caller may read nothing of an answer before its connection is closed.
	unreadTimeout = 30 * time.Second
	// writePiece is how many bytes a caller must read within unreadTimeout at least.
	writePiece = 64 << 10

	// minWait is how long a connection waits for its caller before it may be evicted: the bodies of
	// callers that send without a pause are there by then.
	minWait = 250 * time.Millisecond
	// minUnread is the same where it waits for its caller to read an answer, which is worth more.
	minUnread = 5 * time.Second
	// evictedShare is the share of the connections that are closed at a time, so that this is rare.
	evictedShare = 1.0 / 32
)

var _ memory.Holder = (*conn)(nil)

// WaitsSince implements memory.Holder: a connection waits for its caller between two calls, while part of
// a header or a body has come, and while its caller does not read an answer.
func (c *conn) WaitsSince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, least := c.waits()
	return since, !since.IsZero() && now.Sub(since) >= least
}

// waits returns since when the connection waits for its caller, zero if it does not, and for how long it
// must. The caller must hold c.mu.
func (c *conn) waits() (since time.Time, least time.Duration) {
	switch {
	case c.closed, c.evicted:
		return time.Time{}, 0
	case !c.writeSince.IsZero():
		return c.writeSince, minUnread
	case c.phase == unused, c.phase == idle:
		return c.idleSince, minWait
	case c.phase == reading:
		return c.readingSince, minWait
	case c.phase == serving:
		return c.bodySince, minWait
	}
	return time.Time{}, 0
}

// Evict implements memory.Holder. The call whose body is being read is refused by its handler; otherwise
// the connection is closed.
func (c *conn) Evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, _ := c.waits()
	if since.IsZero() {
		return false
	}
	c.evicted = true
	fields := c.fields()
	fields["waitedMs"] = time.Since(since).Milliseconds()
	go c.listener.log.WithFields(fields).Info("caller evicted: it kept a connection and memory that others need")
	if c.phase == serving && c.writeSince.IsZero() {
		_ = c.Conn.SetReadDeadline(longAgo)
		return true
	}
	c.closed = true
	go func() { _ = c.release() }()
	return true
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// reserveHead reserves memory for the part of a header that has been read. It returns false, and closes
// the connection, if there is no room.
func (c *conn) reserveHead() bool {
	c.mu.Lock()
	more := headFactor*max(c.unanswered-callHeadBytes, 0) - c.headBytes
	c.headBytes += max(more, 0)
	c.mu.Unlock()
	if more <= 0 || c.lease.Take(more) {
		return true
	}
	c.mu.Lock()
	c.headBytes -= more
	c.mu.Unlock()
	_ = c.Close()
	return false
}

// settleHead returns what was reserved for a header beyond what it takes.
func (c *conn) settleHead(h http.Header) {
	c.mu.Lock()
	reserved := c.headBytes
	c.mu.Unlock()
	if reserved == 0 {
		return
	}
	takes := int64(0)
	for name, values := range h {
		for _, v := range values {
			takes += int64(len(name) + len(v) + fieldBytes)
		}
	}
	c.returnHeadBeyond(takes)
}

func (c *conn) returnHead() { c.returnHeadBeyond(0) }

func (c *conn) returnHeadBeyond(takes int64) {
	c.mu.Lock()
	extra := max(c.headBytes-takes, 0)
	c.headBytes -= extra
	c.mu.Unlock()
	if extra > 0 {
		c.lease.Return(extra)
	}
}

// makeRoom closes some connections that have waited longest for their callers if there are as many as may
// be open, and reports whether another one may be opened.
func (l *Listener) makeRoom() bool {
	if l.maxConns <= 0 || l.Open() < l.maxConns {
		return true
	}
	type waiting struct {
		*conn
		since time.Time
	}
	now := time.Now()
	queue := lo.FilterMap(l.openConns(), func(c *conn, _ int) (waiting, bool) {
		since, ok := c.WaitsSince(now)
		return waiting{c, since}, ok
	})
	slices.SortFunc(queue, func(x, y waiting) int { return x.since.Compare(y.since) })
	closed := 0
	for _, w := range queue[:min(len(queue), 1+int(evictedShare*float64(l.maxConns)))] {
		if w.Evict() {
			closed++
		}
	}
	return closed > 0
}
