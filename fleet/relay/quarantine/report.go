package quarantine

import (
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// Report is what one node reports to others of requests under which endpoints end.
type Report struct {
	Ends   []EndReport    `json:"ends,omitempty"`   // observed by the sender; for judges
	Served []ServedReport `json:"served,omitempty"` // suspects that the sender served since; for judges
	Near   []NearReport   `json:"near,omitempty"`   // suspects one end short of quarantine; for all nodes
	Held   []HeldReport   `json:"held,omitempty"`   // quarantined and released requests; for all nodes
}

// None reports whether there is nothing to send.
func (r Report) None() bool { return len(r.Ends)+len(r.Served)+len(r.Near)+len(r.Held) == 0 }

// EndReport reports the end of an endpoint's incarnation and the sender's calls it interrupted.
type EndReport struct {
	Endpoint string    `json:"e"`
	Born     int64     `json:"b,omitempty"`
	AgeMs    int64     `json:"ms"`
	Suspects []Suspect `json:"s"`
}

func (r EndReport) incarnation() engine.Incarnation {
	return engine.Incarnation{ID: r.Endpoint, Born: r.Born}
}

// ServedReport reports a suspect that the sender served.
type ServedReport struct {
	Fingerprint Fingerprint `json:"p"`
	AgeMs       int64       `json:"ms"`
}

// NearReport reports a suspect that is one end short of quarantine.
type NearReport struct {
	Fingerprint Fingerprint `json:"p"`
	Customer    string      `json:"c,omitempty"`
}

// HeldReport reports a quarantined or released request.
type HeldReport struct {
	Fingerprint Fingerprint `json:"p"`
	Part        string      `json:"part,omitempty"`
	Round       int         `json:"n"`
	Released    bool        `json:"free,omitempty"`
	Why         string      `json:"why,omitempty"`
	Stored      bool        `json:"kept,omitempty"`
	Answered    bool        `json:"answered,omitempty"` // before endpoints ended under it
	Tried       bool        `json:"tried,omitempty"`    // after its previous hold expired
	Probes      int         `json:"probes,omitempty"`   // claimed in this round
	AgeMs       int64       `json:"ms"`
	ForMs       int64       `json:"for"`
	Customer    string      `json:"c,omitempty"`
	Route       string      `json:"r,omitempty"`
	Ends        []string    `json:"ends,omitempty"`
}

// ReportOf returns a request in the form that is sent and stored.
func ReportOf(h Held, now time.Time) HeldReport {
	return HeldReport{
		Fingerprint: h.Fingerprint, Part: h.Part, Round: h.Round, Released: h.Released, Why: h.Why, Stored: h.Stored, Answered: h.Answered, Tried: h.Tried, Probes: h.Probes, AgeMs: now.Sub(h.Since).Milliseconds(),
		ForMs: h.For.Milliseconds(), Customer: h.Customer, Route: h.Route, Ends: h.Ends,
	}
}

// Bounds of one message.
const (
	maxEndReports     = 8
	maxReportSuspects = 12 // suspects per report; further suspects of an end go into another report
	maxServedReports  = 16
	maxNearReports    = 16
	maxHeldReports    = 8
	sendCount         = 3 // heartbeats in which a report outside the digests is sent, as datagrams may be lost
)

// queued is a report that is to be sent some more times.
type queued[T any] struct {
	report    T
	at        time.Time
	remaining int
}

// outbox holds what is still to be sent.
type outbox struct {
	ends       []queued[EndReport]
	served     []queued[ServedReport]
	near       []queued[NearReport]
	held       map[Fingerprint]int // how often each is still to be sent to all nodes
	nextDigest int                 // index of the next request to include in a digest
	digests    int                 // number of digests so far
}

func newOutbox() outbox { return outbox{held: map[Fingerprint]int{}} }

// timedEnd is an end for the outbox. Its age is computed when it is sent.
type timedEnd struct {
	report EndReport
	at     time.Time
}

func newTimedEnd(incarnation engine.Incarnation, at time.Time, suspects []Suspect) timedEnd {
	return timedEnd{EndReport{Endpoint: incarnation.ID, Born: incarnation.Born, Suspects: suspects}, at}
}

func (o *outbox) addEnd(e timedEnd) {
	for _, some := range lo.Chunk(e.report.Suspects, maxReportSuspects) {
		if len(o.ends) < maxEnds {
			o.ends = append(o.ends, queued[EndReport]{EndReport{Endpoint: e.report.Endpoint, Born: e.report.Born, Suspects: some}, e.at, sendCount})
		}
	}
}

func (o *outbox) addServed(p Fingerprint, at time.Time) {
	if len(o.served) < maxServed {
		o.served = append(o.served, queued[ServedReport]{ServedReport{Fingerprint: p}, at, sendCount})
	}
}

// addHeld queues a quarantined request once, since the digests repeat it.
func (o *outbox) addHeld(p Fingerprint) { o.held[p] = 1 }

// addReleased queues a released request several times, since no digest contains it.
func (o *outbox) addReleased(p Fingerprint) { o.held[p] = sendCount }

// takeDue takes up to limit reports from the head of a queue. It returns them and the queue that
// remains, with those that are to be sent again at its tail.
func takeDue[T any](queue []queued[T], limit int, fill func(T, time.Time) T) (reports []T, remaining []queued[T]) {
	n := min(len(queue), limit)
	for _, t := range queue[:n] {
		reports = append(reports, fill(t.report, t.at))
		if t.remaining--; t.remaining > 0 {
			remaining = append(remaining, t)
		}
	}
	return reports, append(queue[n:], remaining...)
}

// Updates returns the reports to send now: those for judges and those for all nodes.
func (t *Tracker) Updates(now time.Time) (judges, all Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	judges.Ends, t.outbox.ends = takeDue(t.outbox.ends, maxEndReports, func(r EndReport, at time.Time) EndReport {
		r.AgeMs = now.Sub(at).Milliseconds()
		return r
	})
	judges.Served, t.outbox.served = takeDue(t.outbox.served, maxServedReports, func(r ServedReport, at time.Time) ServedReport {
		r.AgeMs = now.Sub(at).Milliseconds()
		return r
	})
	all.Near, t.outbox.near = takeDue(t.outbox.near, maxNearReports, func(r NearReport, _ time.Time) NearReport { return r })
	for p, left := range t.outbox.held {
		if len(all.Held) == maxHeldReports {
			break
		}
		if h, ok := t.held[p]; ok {
			all.Held = append(all.Held, ReportOf(h, now))
		}
		if t.outbox.held[p] = left - 1; left <= 1 {
			delete(t.outbox.held, p)
		}
	}
	return judges, all
}

// A request is in each digest while its quarantine is fresh, and in every seventh later: a node
// that joins knows it from the store or learns it that way. Nodes that draw for others send to a
// fifth of their zone at each heartbeat and so reach all of it within 35.
const (
	freshPeriod   = 30 * time.Second
	olderInterval = 7
)

// Digest returns some of the quarantined requests, in rotation, to go along with other messages.
func (t *Tracker) Digest(now time.Time) Report {
	all := t.List(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.digests++
	if t.outbox.digests%olderInterval != 0 {
		all = lo.Filter(all, func(h Held, _ int) bool { return now.Sub(h.Since) < freshPeriod })
	}
	if len(all) == 0 {
		return Report{}
	}
	n := min(len(all), maxHeldReports)
	reports := lo.Map(lo.Range(n), func(i, _ int) HeldReport { return ReportOf(all[(t.outbox.nextDigest+i)%len(all)], now) })
	t.outbox.nextDigest = (t.outbox.nextDigest + n) % len(all)
	return Report{Held: reports}
}

// Receive processes a report from another node. It returns the requests that were new or changed.
func (t *Tracker) Receive(r Report, now time.Time) []Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	if t.role() == Witness {
		r.Ends, r.Served = nil, nil
	}
	for _, n := range r.Near[:min(len(r.Near), maxNearReports)] {
		if _, known := t.near[n.Fingerprint]; known || len(t.near) < maxNear {
			t.near[n.Fingerprint] = nearSuspect{n.Customer, now}
		}
	}
	if len(r.Near) > 0 {
		t.updateWatched()
	}
	for _, e := range r.Ends[:min(len(r.Ends), maxEndReports)] {
		age := clock.Milliseconds(e.AgeMs)
		if e.AgeMs >= 0 && age < t.rule.Memory {
			changed = t.recordEnd(e.incarnation(), now.Add(-age), e.Suspects[:min(len(e.Suspects), maxSuspects)], now) || changed
		}
	}
	for _, s := range r.Served[:min(len(r.Served), maxServedReports)] {
		age := clock.Milliseconds(s.AgeMs)
		if s.AgeMs >= 0 && age < t.rule.Memory {
			t.markServed(s.Fingerprint, now.Add(-age), now)
		}
	}
	learned := lo.FilterMap(r.Held[:min(len(r.Held), maxHeldReports)], func(h HeldReport, _ int) (Held, bool) { return t.learn(h, now) })
	if changed {
		t.judge(now)
	}
	return learned
}

// Learn processes the stored state of a request.
func (t *Tracker) Learn(r HeldReport, now time.Time) (Held, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.learn(r, now)
}

func (t *Tracker) learn(r HeldReport, now time.Time) (Held, bool) {
	known, ok := t.held[r.Fingerprint]
	h := Held{
		Fingerprint: r.Fingerprint, Part: r.Part, Round: r.Round, Released: r.Released, Why: r.Why, Stored: r.Stored, Answered: r.Answered, Tried: r.Tried, Probes: max(r.Probes, 0), Since: now.Add(-clock.Milliseconds(max(r.AgeMs, 0))),
		For: min(clock.Milliseconds(r.ForMs), t.rule.MaxHold), Customer: r.Customer, Route: r.Route, Ends: r.Ends[:min(len(r.Ends), maxNamedEnds)],
	}
	if r.Round < 1 || r.ForMs < 0 || r.AgeMs > 2*t.rule.MaxHold.Milliseconds() {
		return Held{}, false
	}
	if ok && !h.supersedes(known) {
		if known.sameState(h) {
			known.Stored, known.Probes = known.Stored || h.Stored, max(known.Probes, h.Probes)
			known.Answered, known.Tried = known.Answered || h.Answered, known.Tried || h.Tried
			t.held[r.Fingerprint] = known
		}
		if known.supersedes(h) && t.role() != Witness {
			t.outbox.addReleased(r.Fingerprint) // the sender missed the release
		}
		return Held{}, false
	}
	if h.Released {
		t.served[r.Fingerprint] = now
	}
	if h.Released && t.role() == Judge {
		t.outbox.addReleased(r.Fingerprint) // its zone may have missed the release
	}
	t.put(h, now)
	t.updateWatched()
	return h, true
}
