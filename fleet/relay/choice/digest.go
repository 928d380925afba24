package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Digest is what one node reports to the others about an endpoint.
type Digest struct {
	InFlight int       `json:"n,omitempty"`
	Waiting  int64     `json:"w,omitempty"`
	Paused   float64   `json:"p,omitempty"`  // share of its streams that paused for too long
	Streams  float64   `json:"s,omitempty"`  // decayed number of streams behind that share
	Gone     bool      `json:"g,omitempty"`  // another endpoint has its address: its incarnation has ended, or its entry was wrong
	GoneAt   string    `json:"ga,omitempty"` // that address; "": the sender's build does not report it
	Born     int64     `json:"b,omitempty"`  // start of the incarnation; 0: the endpoint or the sender's build does not report it
	At       time.Time `json:"-"`
}

// Bounds of what a peer may report, beyond any real figure, so that no sum overflows.
const (
	maxInFlight = 1 << 20 // calls
	maxWaiting  = 1 << 40 // tokens, also of a part of a prompt
)

// sanitized returns the digest with impossible values clamped, since peers' digests are not
// trusted.
func (d Digest) sanitized() Digest {
	d.InFlight, d.Waiting = min(max(d.InFlight, 0), maxInFlight), min(max(d.Waiting, 0), maxWaiting)
	d.Born = max(d.Born, 0)
	d.Paused = min(max(d.Paused, 0), 1)
	d.Streams = min(max(d.Streams, 0), 1/(1-averageDecay))
	return d
}

// Busiest returns the digests of the endpoints with most calls in flight, at most the given
// number of them, and all digests of ended incarnations.
func Busiest(digests map[string]Digest, limit int) map[string]Digest {
	ids := lo.Keys(digests)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(digests[b].InFlight, digests[a].InFlight), cmp.Compare(a, b))
	})
	busiest := make(map[string]Digest, limit)
	for _, id := range ids {
		if d := digests[id]; d.Gone || len(busiest) < limit {
			busiest[id] = d
		}
	}
	return busiest
}

// digestAge is how long a peer's digest is valid.
const digestAge = 1500 * time.Millisecond

// Read lists the shared parts of a prompt that an endpoint has read.
type Read struct {
	Endpoint       string   `json:"e"`
	Born           int64    `json:"b,omitempty"` // start of the incarnation that read it; 0: the endpoint or the sender's build does not report it
	Parts          []string `json:"p"`
	Tokens         []int64  `json:"t"`
	AllowedRegions []string `json:"h,omitempty"` // regions whose nodes may receive it; nil: all
}

// recentReads holds the latest reads for peers. Each is sent several times, since datagrams get
// lost.
type recentReads struct{ reads []timedRead }

type timedRead struct {
	Read
	at   time.Time
	rare bool // few endpoints were known to cache its parts
}

// Bounds of the reads that are sent to peers.
const (
	readTTL  = time.Second
	maxReads = 128
)

func (l *recentReads) add(by engine.Incarnation, parts []call.Part, allowedRegions []string, rare bool, now time.Time) {
	if len(parts) == 0 {
		return
	}
	r := timedRead{Read: Read{Endpoint: by.ID, Born: by.Born, AllowedRegions: allowedRegions}, at: now, rare: rare}
	for _, p := range parts {
		r.Parts = append(r.Parts, p.ID)
		r.Tokens = append(r.Tokens, p.Tokens)
	}
	l.reads = append(l.reads, r)
}

// list returns the reads that nodes of a region may receive.
func (l *recentReads) list(region string, rareOnly bool, now time.Time) []Read {
	from := 0
	for from < len(l.reads) && now.Sub(l.reads[from].at) > readTTL {
		from++
	}
	l.reads = l.reads[max(from, len(l.reads)-maxReads):]
	all := make([]Read, 0, len(l.reads))
	for _, r := range l.reads {
		if (r.rare || !rareOnly) && (len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)) {
			all = append(all, r.Read)
		}
	}
	return all
}

// precision is the number of steps between 0 and 1 to which sent shares are rounded: hundredths.
const precision = 100

func rounded(x float64) float64 { return math.Round(x*precision) / precision }

// Digests returns this node's own state of each endpoint for its peers.
func (p *Picker) Digests() map[string]Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]Digest{}
	for id, s := range p.endpoints {
		if s.inFlight > 0 || s.gone || s.pauses.mean() > 1/precision {
			all[id] = Digest{InFlight: s.inFlight, Waiting: s.waiting, Paused: rounded(s.pauses.mean()), Streams: rounded(s.pauses.weight), Gone: s.gone, GoneAt: s.goneAt, Born: s.born}
		}
	}
	return all
}

// Reads returns the latest reads of this node, and those that it forwards, as far as nodes of
// the region may receive them.
func (p *Picker) Reads(region string, now time.Time) []Read { return p.listReads(region, false, now) }

// RareReads returns those of Reads whose parts few endpoints were known to cache. Only these are
// worth sending between zones.
func (p *Picker) RareReads(region string, now time.Time) []Read {
	return p.listReads(region, true, now)
}

func (p *Picker) listReads(region string, rareOnly bool, now time.Time) []Read {
	if !p.tuning.Gossip {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recent.list(region, rareOnly, now)
}

// ReceiveDigests records a peer's digests. Endpoints that they don't list have no calls of that peer.
func (p *Picker) ReceiveDigests(peer string, digests map[string]Digest, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.peerEndpoints[peer] {
		if _, ok := digests[id]; ok {
			continue
		}
		if s, known := p.endpoints[id]; known {
			delete(s.peers, peer)
		}
	}
	announced := p.peerEndpoints[peer][:0]
	for id, d := range digests {
		announced = append(announced, id)
		d = d.sanitized()
		d.At = now
		s := p.endpoint(engine.Incarnation{ID: id, Born: d.Born}, 0)
		s.peers[peer] = d
		if d.Gone && d.Born == s.born && !s.gone {
			s.markGone(d.GoneAt)
		}
	}
	p.peerEndpoints[peer] = announced
}

// ReceiveReads records the reads of a peer. With forward set, reads of parts that few endpoints
// are known to cache are passed on within the zone, so that every node knows a source of each
// shared part. Otherwise most nodes of a large fleet never learn of a read, and parts without a
// known source are read again.
func (p *Picker) ReceiveReads(reads []Read, forward bool, now time.Time) {
	if !p.tuning.Gossip {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reads {
		r.Born = max(r.Born, 0)
		s, known := p.endpoints[r.Endpoint]
		if len(r.Parts) != len(r.Tokens) || len(r.Parts) == 0 || !known && p.capacity <= 0 {
			continue
		}
		if known && !s.matches(r.Born, now) {
			continue
		}
		deepest := r.Parts[len(r.Parts)-1]
		rare := p.isRare(deepest) && !p.holders[deepest][r.Endpoint]
		if !known {
			s = p.endpoint(engine.Incarnation{ID: r.Endpoint, Born: r.Born}, p.capacity)
		}
		for i, id := range r.Parts {
			if r.Tokens[i] >= 0 && r.Tokens[i] <= maxWaiting {
				s.cache.read(call.Part{ID: id, Tokens: r.Tokens[i]}, true)
			}
		}
		if forward && rare {
			p.recent.reads = append(p.recent.reads, timedRead{Read: r, at: now})
		}
	}
}

// isRare reports whether few endpoints are known to cache a part.
func (p *Picker) isRare(part string) bool { return len(p.holders[part]) < minHolders }

// minHolders is how many endpoints must be known to cache a part before reads of it are no
// longer forwarded. It is more than one because an endpoint may be leaving or its link busy.
const minHolders = 2
