package holder

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// BudgetLine is a budget that may pay for a request. Lists of them are in order of preference.
type BudgetLine struct {
	Name    ident.Budget  `json:"name"`
	Limit   int64         `json:"limit"`
	Version table.Version `json:"version"`
}

// Message is an event or a request that State.Handle applies to a holder.
type Message interface{ message() }

// Shares are this holder's even shares of the limits, 0 to 1.
type Shares struct {
	Zone float64 // of a customer's limit, which one holder in each zone uses
	Node float64 // of a common limit, which every node uses
}

func (s Shares) of(l limit.Line) float64 {
	if l.Common {
		return s.Node
	}
	return s.Zone
}

// Admit asks to admit a request.
type Admit struct {
	At      time.Time
	Record  Record // with Bound, Entry and the first Attempt filled in
	Budgets []BudgetLine
	Limits  []limit.Line
	Share   Shares
	// Weight is the operator's weight of this customer's use of the service; it
	// decides who gets a budget's last tokens.
	Weight int64
	// CallerAttempt is the caller's own attempt number, or 0 if it sent none.
	CallerAttempt int
	// Claimed is set once the other zones were asked for the key.
	Claimed bool
	// Unreachable lists the zones that could not be asked for the key.
	Unreachable []ident.Zone
}

// Claim asks on behalf of another holder whether a key is known here.
type Claim struct {
	Record Record
	// Store asks to keep a copy. It is set for the nodes that rank next for the slot.
	Store bool
	At    time.Time
}

// Noted adds an attempt to an open record.
type Noted struct {
	Request ident.Request
	Attempt Attempt
	// Extra is how many more tokens must be reserved, since an earlier attempt
	// cost some or may have.
	Extra int64
}

// Await ends a request for its entry VM while the cost of some attempts is not known.
type Await struct {
	Request  ident.Request
	Usage    Usage // as far as known
	Attempts []Attempt
}

// Settle ends a request and charges its cost.
type Settle struct {
	At      time.Time
	Request ident.Request
	Usage   Usage
	Answer  *Answer
}

// Release ends a request that did not run.
type Release struct{ Request ident.Request }

// Lend asks for the unused share of a limit.
type Lend struct {
	At    time.Time
	Line  limit.Line
	Share Shares
}

// Borrowed is the share of a limit that other nodes lent, and when the loan expires.
type Borrowed struct {
	At    time.Time
	Line  limit.Line
	Share float64
	Until time.Time
}

// Asked records that a zone which was unreachable at first has now been asked for a key.
type Asked struct {
	Key  KeyID
	Zone ident.Zone
}

// Void reverses the bill of a request, because the same request ran earlier in another zone.
type Void struct{ Key KeyID }

// Forget removes the copy of a key whose request did not run.
type Forget struct {
	Key     KeyID
	Request ident.Request
}

// TakeOver makes another node the entry of a request.
type TakeOver struct {
	Request  ident.Request
	Entry    ident.Incarnation
	EntryURL string
}

// Witnessed records which other VM keeps a copy of a record.
type Witnessed struct {
	Request ident.Request
	By      ident.Incarnation
}

// Opened opens accounts for the budgets of a slot, so that tokens are held before there is demand.
type Opened struct {
	At      time.Time
	Slot    ident.Slot
	Budgets []BudgetLine
}

// Synced is the ledger of a slot as it was read or written.
type Synced struct {
	At   time.Time
	Slot ledger.Slot
}

// Durable reports that the bills of the requests are stored in the platform.
type Durable struct{ Requests []ident.Request }

// Surrender asks for tokens of a budget that another holder lacks.
type Surrender struct {
	Slot   ident.Slot
	Budget ident.Budget
	Need   int64
}

// Renew starts a new incarnation after the accounts of the old one were closed.
type Renew struct{ Incarnation ident.Incarnation }

// Expire removes stored answers and keys that are older than the retention time.
type Expire struct{ Before time.Time }

// Leave stops admitting in a slot that the node no longer holds. The effect is
// Missing while reservations are open.
type Leave struct{ Slot ident.Slot }

// Deny removes a request that was refused after its key was registered.
type Deny struct{ Record Record }

// Yield points a key to the request that another holder admitted first.
type Yield struct{ Own, Other Record }

// Left removes the accounts of a slot that the node no longer holds.
type Left struct{ Slot ident.Slot }

func (Admit) message()     {}
func (Claim) message()     {}
func (Noted) message()     {}
func (Await) message()     {}
func (Settle) message()    {}
func (Release) message()   {}
func (Lend) message()      {}
func (Borrowed) message()  {}
func (Asked) message()     {}
func (Void) message()      {}
func (Forget) message()    {}
func (TakeOver) message()  {}
func (Witnessed) message() {}
func (Opened) message()    {}
func (Synced) message()    {}
func (Durable) message()   {}
func (Surrender) message() {}
func (Renew) message()     {}
func (Expire) message()    {}
func (Leave) message()     {}
func (Deny) message()      {}
func (Yield) message()     {}
func (Left) message()      {}

// Effect is the result of a message: an answer to the sender or an action for the runtime.
type Effect interface{ effect() }

// None requires no action.
type None struct{}

// Admitted admits a request. A second VM must store the record before the request runs.
type Admitted struct{ Record Record }

// Existing returns the request that already has the key.
type Existing struct{ Record Record }

// Refused refuses a request, which has not run.
type Refused struct{ Problem *problem.Problem }

// MustClaim asks to claim the key in the other zones and at the nodes that rank next in this one.
type MustClaim struct{ Record Record }

// Short asks for more tokens, without which the request can't be admitted.
type Short struct {
	Slot   ident.Slot
	Budget ident.Budget
	Need   int64
}

// Ended confirms the end of a request.
type Ended struct{ Record Record }

// Missing reports that the holder does not know the request.
type Missing struct{ Request ident.Request }

// Lent is the share of a limit that was lent.
type Lent struct{ Share float64 }

// Surrendered returns how many tokens are being returned to the pool.
type Surrendered struct{ Tokens int64 }

func (None) effect()        {}
func (Admitted) effect()    {}
func (Existing) effect()    {}
func (Refused) effect()     {}
func (MustClaim) effect()   {}
func (Short) effect()       {}
func (Ended) effect()       {}
func (Missing) effect()     {}
func (Lent) effect()        {}
func (Surrendered) effect() {}
