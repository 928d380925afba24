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

// account is the holder's own account of one budget, in tokens.
type account struct {
	slot     ident.Slot
	line     BudgetLine
	drawn    int64 // as read from the ledger
	returned int64 // decided here; posted to the ledger later
	settled  int64
	durable  int64 // the portion of settled whose bills are stored in the platform
	reserved int64
	leaving  bool // the account is being closed; nothing more is admitted
	demand   demand
	heaviest heaviest
	posted   ledger.Budget // the ledger's entry as last read or written
}

// spendable returns the tokens that a new reservation may take.
func (a account) spendable() int64 { return a.drawn - a.returned - a.settled - a.reserved }

// The last tokens of a budget are kept free for the requests with the greatest recent weight.
const (
	reserveShare   = 0.05        // of the limit
	heaviestWindow = time.Minute // how long a weight counts as recent
)

// heaviest is the greatest weight of recent requests.
type heaviest struct {
	weight int64
	at     time.Time
}

func (h heaviest) with(weight int64, at time.Time) heaviest {
	if weight >= h.weight || at.Sub(h.at) > heaviestWindow {
		return heaviest{weight: weight, at: at}
	}
	return h
}

// headroom returns how many free tokens a request of this weight must leave for heavier ones.
func (a account) headroom(weight int64) int64 {
	if weight >= a.heaviest.weight || weight <= 0 {
		return 0
	}
	share := 1 - float64(weight)/float64(a.heaviest.weight)
	return int64(share * reserveShare * float64(a.line.Limit) / float64(max(1, len(a.posted.Accounts))))
}

// demandDecay is the time constant with which past demand decays. It is long because placed tokens
// must last through a network partition; short shifts of demand are met by recalling tokens.
const demandDecay = 30 * time.Minute

// demand is the smoothed rate of requested tokens and the size of a typical reservation.
type demand struct {
	since time.Time
	at    time.Time
	sum   float64 // tokens, decaying
	size  float64 // of a typical reservation, in tokens
}

func (d demand) with(tokens int64, at time.Time) demand {
	d = d.decayed(at)
	d.sum += float64(tokens)
	if d.size == 0 {
		d.size = float64(tokens)
	}
	d.size += (float64(tokens) - d.size) / 16
	return d
}

func (d demand) decayed(at time.Time) demand {
	if d.since.IsZero() {
		d.since = at
	}
	if passed := at.Sub(d.at); passed > 0 && !d.at.IsZero() {
		d.sum *= math.Exp(-passed.Seconds() / demandDecay.Seconds())
	}
	d.at = at
	return d
}

// minDemandAge is the least age used to compute a rate, so that the first requests
// of a new holder do not count as a burst of demand.
const minDemandAge = 10 * time.Second

// perSecond returns the demand in tokens per second, corrected for a history shorter than the decay time.
func (d demand) perSecond() float64 {
	age := max(minDemandAge, d.at.Sub(d.since)).Seconds()
	decay := demandDecay.Seconds()
	return d.sum / (decay * (1 - math.Exp(-age/decay)))
}

// State is the state of a node as a holder. It is immutable.
type State struct {
	self     ident.Incarnation
	zone     ident.Zone
	accounts *immutable.Map[ident.Budget, account]
	records  *immutable.Map[ident.Request, Record] // open, or settled and not durable
	keyed    *immutable.Map[KeyID, Record]         // by key, until they expire
	limits   *immutable.Map[string, limit.Usage]
	loans    *immutable.Map[string, []loan] // by limit
}

// New returns a holder without accounts.
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

// Self returns the holder's incarnation.
func (s State) Self() ident.Incarnation { return s.self }

// Handle applies a message and returns the next state and the effect to carry out.
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
		return s.withoutRequest(m.Record), None{}
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

// withRecord adds or replaces a record, under its key as well.
func (s State) withRecord(r Record) State {
	s.records = s.records.Set(r.Request, r)
	if r.Key != "" {
		s.keyed = s.keyed.Set(r.Key, r)
	}
	return s
}

// withKeys keeps the keys of an earlier incarnation, so that retries are still recognized.
func (s State) withKeys(old State) State {
	s.keyed = old.keyed
	return s
}

// Record returns a request that is open, not durable yet, or kept under its key.
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

// Records returns the records that are open or not durable, sorted by request.
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

// Keyed returns the records that are kept by key, for a handover.
func (s State) Keyed() []Record {
	records := make([]Record, 0, s.keyed.Len())
	for it := s.keyed.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		records = append(records, r)
	}
	return records
}

// Slots returns the slots in which the holder has accounts.
func (s State) Slots() []ident.Slot {
	var slots []ident.Slot
	for it := s.accounts.Iterator(); !it.Done(); {
		_, a, _ := it.Next()
		slots = append(slots, a.slot)
	}
	slices.Sort(slots)
	return slices.Compact(slots)
}
