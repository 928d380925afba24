package holder

import (
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/limit"
)

// account is the holder's own book of one budget.
type account struct {
	slot     ident.Slot
	line     BudgetLine
	drawn    int64 // as seen in the ledger
	returned int64 // decided; the ledger follows
	settled  int64
	durable  int64 // the part of settled whose bills lie in the platform
	reserved int64
	leaving  bool // the books are being closed; nothing more is admitted
	demand   demand
	heaviest heaviest
	seen     ledger.Budget // the line as last seen
}

// spendable is what a new reservation may take.
func (a account) spendable() int64 { return a.drawn - a.returned - a.settled - a.reserved }

// The last tokens of a budget are kept for the heaviest use seen lately.
const (
	lastPart       = 0.05 // of the limit
	heaviestMemory = time.Minute
)

// heaviest is the greatest weight of late requests.
type heaviest struct {
	weight int64
	at     time.Time
}

func (h heaviest) with(weight int64, at time.Time) heaviest {
	if weight >= h.weight || at.Sub(h.at) > heaviestMemory {
		return heaviest{weight: weight, at: at}
	}
	return h
}

// kept is how many free tokens a request of a weight must leave here for heavier ones.
func (a account) kept(weight int64) int64 {
	if weight >= a.heaviest.weight || weight <= 0 {
		return 0
	}
	part := 1 - float64(weight)/float64(a.heaviest.weight)
	return int64(part * lastPart * float64(a.line.Limit) / float64(max(1, len(a.seen.Accounts))))
}

// demandMemory is how long past demand counts. It is long, since what is placed
// must last through a cut; short moves are met by calling tokens back.
const demandMemory = 30 * time.Minute

// demand is the smoothed rate of asked-for tokens and the size of a typical reservation.
type demand struct {
	since time.Time
	at    time.Time
	sum   float64 // tokens, decaying
	lump  float64
}

func (d demand) with(tokens int64, at time.Time) demand {
	d = d.decayed(at)
	d.sum += float64(tokens)
	if d.lump == 0 {
		d.lump = float64(tokens)
	}
	d.lump += (float64(tokens) - d.lump) / 16
	return d
}

func (d demand) decayed(at time.Time) demand {
	if d.since.IsZero() {
		d.since = at
	}
	if passed := at.Sub(d.at); passed > 0 && !d.at.IsZero() {
		d.sum *= math.Exp(-passed.Seconds() / demandMemory.Seconds())
	}
	d.at = at
	return d
}

// shortestAge keeps the first requests of a new holder from counting as a flood.
const shortestAge = 10 * time.Second

// perSecond is the rate over the time that is remembered.
func (d demand) perSecond() float64 {
	age := max(shortestAge, d.at.Sub(d.since)).Seconds()
	memory := demandMemory.Seconds()
	return d.sum / (memory * (1 - math.Exp(-age/memory)))
}

// State is what a node knows as a holder; it is not changed in place.
type State struct {
	self     ident.Incarnation
	zone     ident.Zone
	accounts *immutable.Map[ident.Budget, account]
	records  *immutable.Map[ident.Request, Record] // open, or settled and not durable
	keyed    *immutable.Map[KeyID, Record]         // by key, until they expire
	limits   *immutable.Map[string, limit.Usage]
	loans    *immutable.Map[string, []loan] // by limit
}

// New is a holder without books.
func New(self ident.Incarnation, zone ident.Zone) State {
	return State{
		self:     self,
		zone:     zone,
		accounts: ident.NewMap[ident.Budget, account](),
		records:  ident.NewMap[ident.Request, Record](),
		keyed:    ident.NewMap[KeyID, Record](),
		limits:   ident.NewMap[string, limit.Usage](),
		loans:    ident.NewMap[string, []loan](),
	}
}

// Self is the holder's incarnation.
func (s State) Self() ident.Incarnation { return s.self }

// Handle takes a message and returns the next state and what to do.
func (s State) Handle(m Message) (State, Effect) {
	switch m := m.(type) {
	case Admit:
		return s.admit(m)
	case Claim:
		return s.claim(m)
	case Noted:
		return s.noted(m)
	case Await:
		return s.await(m)
	case Settle:
		return s.settle(m)
	case Release:
		return s.release(m)
	case Lend:
		return s.lend(m)
	case Borrowed:
		return s.borrowed(m), None{}
	case Asked:
		return s.asked(m), None{}
	case Void:
		return s.void(m)
	case Forget:
		return s.forget(m), None{}
	case TakeOver:
		return s.takeOver(m)
	case Witnessed:
		return s.witnessed(m), None{}
	case Opened:
		return s.opened(m), None{}
	case Synced:
		return s.synced(m), None{}
	case Durable:
		return s.durable(m), None{}
	case Surrender:
		return s.surrender(m)
	case Renew:
		return New(m.Incarnation, s.zone).withKeys(s), None{}
	case Expire:
		return s.expired(m), None{}
	case Leave:
		return s.leave(m)
	case Deny:
		return s.dropped(m.Record), None{}
	case Yield:
		return s.yield(m), None{}
	case Left:
		return s.left(m), None{}
	}
	return s, None{}
}

func (s State) withAccount(a account) State {
	s.accounts = s.accounts.Set(a.line.Name, a)
	return s
}

// withRecord puts a record in, by its key as well.
func (s State) withRecord(r Record) State {
	s.records = s.records.Set(r.Request, r)
	if r.Key != "" {
		s.keyed = s.keyed.Set(r.Key, r)
	}
	return s
}

// withKeys keeps the keys of an earlier incarnation, so that a retry is still known.
func (s State) withKeys(old State) State {
	s.keyed = old.keyed
	return s
}

// Record finds a request that is open, not durable yet, or kept by its key.
func (s State) Record(id ident.Request) (Record, bool) {
	if r, ok := s.records.Get(id); ok {
		return r, true
	}
	for it := s.keyed.Iterator(); !it.Done(); {
		if _, r, _ := it.Next(); r.Request == id {
			return r, true
		}
	}
	return Record{}, false
}

// Records lists the records that are open or not durable, by request.
func (s State) Records() []Record {
	records := make([]Record, 0, s.records.Len())
	for it := s.records.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		records = append(records, r)
	}
	slices.SortFunc(records, func(x, y Record) int {
		if x.Request < y.Request {
			return -1
		}
		return 1
	})
	return records
}

// Keyed lists the records that are kept by key, for a hand-over.
func (s State) Keyed() []Record {
	records := make([]Record, 0, s.keyed.Len())
	for it := s.keyed.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		records = append(records, r)
	}
	return records
}

// Slots lists the slots in which the holder has accounts.
func (s State) Slots() []ident.Slot {
	var slots []ident.Slot
	for it := s.accounts.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		slots = append(slots, a.slot)
	}
	slices.Sort(slots)
	return slices.Compact(slots)
}
