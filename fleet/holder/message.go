package holder

import (
	"time"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// BudgetLine is a budget that may pay for a request, best first.
type BudgetLine struct {
	Name    ident.Budget  `json:"name"`
	Limit   int64         `json:"limit"`
	Version table.Version `json:"version"`
}

// Message is something that happened to a holder.
type Message interface{ message() }

// Shares are the even parts of the limits that fall to this holder, 0 to 1.
type Shares struct {
	Zone float64 // of a customer's limit: one holder in each zone
	Node float64 // of a common limit: every node
}

func (s Shares) of(l limit.Line) float64 {
	if l.Common {
		return s.Node
	}
	return s.Zone
}

// Admit asks to let a request in.
type Admit struct {
	At      time.Time
	Record  Record // with Bound, Entry and the first Attempt filled in
	Budgets []BudgetLine
	Limits  []limit.Line
	Share   Shares
	// Weight is the operator's weight of this customer's use of the service; it
	// decides who gets a budget's last tokens.
	Weight int64
	// Try is the caller's count of its tries; 0 where it gave none.
	Try int
	// Claimed is set once the other zones have been asked for the key.
	Claimed bool
	// Unreachable names the zones that could not be asked.
	Unreachable []ident.Zone
}

// Claim is another holder's question whether a key is known here.
type Claim struct {
	Record Record
	// Store asks to keep a copy, as the runner-up does.
	Store bool
	At    time.Time
}

// Noted adds an attempt to an open record.
type Noted struct {
	Request ident.Request
	Attempt Attempt
	// Extra is how many tokens must be reserved besides, since an earlier attempt
	// cost some or may have.
	Extra int64
}

// Await ends a request for its entry while the cost of some attempts is not known.
type Await struct {
	Request  ident.Request
	Usage    Usage // known so far
	Attempts []Attempt
}

// Settle ends a request at a cost.
type Settle struct {
	At      time.Time
	Request ident.Request
	Usage   Usage
	Answer  *Answer
}

// Release ends a request that did not run.
type Release struct{ Request ident.Request }

// Lend asks for the part of a limit that goes unused here.
type Lend struct {
	At    time.Time
	Line  limit.Line
	Share Shares
}

// Borrowed is a part of a limit that other zones lent until a time.
type Borrowed struct {
	At    time.Time
	Line  limit.Line
	Part  float64
	Until time.Time
}

// Asked notes that a zone has been asked for a key after all.
type Asked struct {
	Key  KeyID
	Zone ident.Zone
}

// Void takes the bill of a request back; the same one ran earlier elsewhere.
type Void struct{ Key KeyID }

// Forget drops the copy of a key whose request did not run.
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

// Witnessed notes which other VM knows a record.
type Witnessed struct {
	Request ident.Request
	By      ident.Incarnation
}

// Opened registers the budgets of a slot, so that they are held before demand comes.
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

// Durable says that the bills of requests lie in the platform.
type Durable struct{ Requests []ident.Request }

// Surrender asks for tokens of a budget that another holder lacks.
type Surrender struct {
	Slot   ident.Slot
	Budget ident.Budget
	Need   int64
}

// Renew starts a new incarnation after the old one's accounts were closed.
type Renew struct{ Incarnation ident.Incarnation }

// Expire drops kept answers and keys that are older than the retention.
type Expire struct{ Before time.Time }

// Leave stops admitting in a slot that the node no longer holds; it is
// answered with Missing while reservations are open.
type Leave struct{ Slot ident.Slot }

// Deny forgets a request that was refused after its key was registered.
type Deny struct{ Record Record }

// Yield points a key to the request that another holder let in first.
type Yield struct{ Own, Other Record }

// Left closes the books of a slot that the node no longer holds.
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

// Effect is what a decision asks of the runtime or answers to the asker.
type Effect interface{ effect() }

// None asks for nothing.
type None struct{}

// Admitted lets a request in; its record must be known to a second VM first.
type Admitted struct{ Record Record }

// Existing points to the request that holds the key already.
type Existing struct{ Record Record }

// Refused turns a request away; it has not run.
type Refused struct{ Problem *problem.Problem }

// MustClaim asks for the key in the other zones and at the runner-up.
type MustClaim struct{ Record Record }

// Short asks for tokens before the request can be admitted.
type Short struct {
	Slot   ident.Slot
	Budget ident.Budget
	Need   int64
}

// Ended confirms the end of a request.
type Ended struct{ Record Record }

// Missing says that the holder does not know the request.
type Missing struct{ Request ident.Request }

// Lent is the part of a limit that was lent.
type Lent struct{ Part float64 }

// Surrendered says how many tokens are on their way back to the pool.
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
