package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/witness"
)

// recentSegments is how many segments before the ledger's mark are read for
// bills whose witnesses were not told that they are durable.
const recentSegments = 20

// clockSkew is how far the clocks of two VMs may differ.
const clockSkew = 10 * time.Second

// Stranding is a dead holder whose accounts can't be closed yet, and why.
type Stranding struct {
	Holder ident.Incarnation `json:"holder"`
	Zone   ident.Zone        `json:"zone"`
	Why    string            `json:"why"`
	Since  time.Time         `json:"since"`
}

// Recover looks after what dead nodes left: open requests without an entry,
// records known to one VM only, and accounts of dead holders.
func (k *Keeper) Recover(ctx context.Context) {
	k.endAbandoned(ctx)
	k.entrustAgain(ctx)
	k.passOn(ctx)
	k.closeDead(ctx)
}

// passOn copies the records of holders that are over to another node of the
// zone, so that they are known to two VMs again until the accounts are closed.
func (k *Keeper) passOn(ctx context.Context) {
	for _, dead := range k.Witness().Holders() {
		if !k.lost(dead) {
			continue
		}
		for _, r := range k.unpassed(dead) {
			if by, _ := k.entrust(ctx, r); by != "" {
				k.mu.Lock()
				k.passed[r.Request] = passing{to: by, phase: r.Phase}
				k.mu.Unlock()
			}
		}
	}
}

// passing is where a copy of a dead holder's record went, and in which phase.
type passing struct {
	to    ident.Incarnation
	phase holder.Phase
}

// unpassed lists the records of a dead holder that no other live node is known to keep.
func (k *Keeper) unpassed(dead ident.Incarnation) []holder.Record {
	return lo.Filter(k.Witness().Of(dead), func(r holder.Record, _ int) bool {
		k.mu.Lock()
		p, ok := k.passed[r.Request]
		k.mu.Unlock()
		return !ok || p.phase != r.Phase || k.lost(p.to)
	})
}

// keptBy names the nodes to which a dead holder's records were passed on.
func (k *Keeper) keptBy(dead ident.Incarnation) []ident.Incarnation {
	records := k.Witness().Of(dead)
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.Uniq(lo.FilterMap(records, func(r holder.Record, _ int) (ident.Incarnation, bool) {
		p, ok := k.passed[r.Request]
		return p.to, ok
	}))
}

// prunePassed forgets where copies of dropped records went.
func (k *Keeper) prunePassed(ids []ident.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		delete(k.passed, id)
	}
}

// endAbandoned asks the engines about open requests whose entry does not answer.
func (k *Keeper) endAbandoned(ctx context.Context) {
	for _, r := range k.Holding().Records() {
		if !k.abandoned(r) {
			continue
		}
		usage, ended := k.outcome(ctx, r, k.View().Gone(r.Entry))
		if !ended {
			continue
		}
		if r.Model && usage.Tokens() == 0 && k.View().Gone(r.Entry) {
			k.release(ctx, peer.Ending{Record: r, NotRun: true})
			continue
		}
		k.End(ctx, peer.Ending{Record: r, Usage: usage})
		k.Events.Add(event.Event{Request: r.Request, Step: event.Settle, Peer: string(r.Entry.Node()), Decision: "settled from the engine's outcome", Reason: "its entry does not answer"})
	}
}

// abandoned reports whether an open record waits for nobody but the engines.
func (k *Keeper) abandoned(r holder.Record) bool {
	return r.Phase == holder.Open && (len(r.Awaiting) > 0 || k.lost(r.Entry))
}

// lost reports whether an incarnation is silent or over.
func (k *Keeper) lost(i ident.Incarnation) bool {
	if i.Node() == k.Self.Node {
		return i != k.Incarnation()
	}
	view := k.View()
	return view.Gone(i) || view.StatusOf(i.Node(), k.Clock.Now()) == membership.StatusSuspect
}

// outcome adds up what all attempts of a request cost; ended is false while one
// may still run or can't be asked. An attempt that never started counts as ended
// only once its entry is over, since a paused entry may yet send it.
func (k *Keeper) outcome(ctx context.Context, r holder.Record, entryOver bool) (total holder.Usage, ended bool) {
	if !r.Model {
		return holder.Usage{}, entryOver
	}
	ended = true
	attempts := r.Attempts
	if len(r.Awaiting) > 0 {
		attempts, total, entryOver = r.Awaiting, r.Usage, true
	}
	for _, a := range attempts {
		o, err := k.Outcomes.Outcome(ctx, a, r.Request)
		if err == nil && !o.Ended() && k.Clock.Since(r.At) > k.options.Abandon {
			o, err = k.Outcomes.Cancel(ctx, a, r.Request)
		}
		if err != nil || !o.Ended() || (o.State == backend.StateNever && !entryOver) {
			ended = false
			continue
		}
		total.Prompt += o.PromptTokens
		total.Output += o.OutputTokens
	}
	return total, ended
}

// entrustAgain finds a second VM for records whose second VM is gone.
func (k *Keeper) entrustAgain(ctx context.Context) {
	for _, r := range k.Holding().Records() {
		if r.Phase == holder.Pending || r.Elsewhere {
			continue
		}
		second := r.Second()
		if second != "" && second.Node() != k.Self.Node && !k.lost(second) {
			continue
		}
		by, fenced := k.entrust(ctx, r)
		if by != "" && !fenced {
			k.handle(holder.Witnessed{Request: r.Request, By: by})
		}
	}
}

// Recovered lists the gone incarnations of the zone that no record depends on,
// and whether some record is known to no other VM.
func (k *Keeper) Recovered() (recovered []membership.Recovery, alone bool) {
	needed := map[ident.Incarnation]bool{}
	for _, r := range k.Holding().Records() {
		if r.Phase == holder.Pending || r.Elsewhere {
			continue
		}
		second := r.Second()
		alone = alone || second == "" || second == k.Incarnation()
		needed[second] = true
	}
	departed := k.View().Departed(k.Self.Zone)
	for _, d := range departed[max(0, len(departed)-maxRecovered):] {
		if !needed[d.Incarnation] && len(k.unpassed(d.Incarnation)) == 0 {
			recovered = append(recovered, membership.Recovery{Gone: d.Incarnation, KeptBy: k.keptBy(d.Incarnation)})
		}
	}
	return recovered, alone
}

// maxRecovered bounds what a heartbeat tells of recovered incarnations.
const maxRecovered = 16

// closeDead closes the accounts of dead holders in the slots that this node holds.
func (k *Keeper) closeDead(ctx context.Context) {
	for _, slot := range k.Holding().Slots() {
		if !k.holds(slot) {
			continue
		}
		s := k.slotSync(slot)
		s.mu.Lock()
		doc := s.slot
		s.mu.Unlock()
		for _, dead := range deadHolders(doc, k.Self.Zone, k.Incarnation(), k.View()) {
			k.tryClose(ctx, slot, dead)
		}
	}
}

func deadHolders(doc ledger.Slot, zone ident.Zone, self ident.Incarnation, view membership.State) []ident.Incarnation {
	return lo.Filter(doc.Holders(), func(h ident.Incarnation, _ int) bool {
		if h == self || !inZone(doc, h, zone) {
			return false
		}
		return view.Gone(h) || (h.Node() == self.Node() && h.Serial() < self.Serial())
	})
}

func inZone(doc ledger.Slot, h ident.Incarnation, zone ident.Zone) bool {
	return lo.SomeBy(doc.Budgets, func(b ledger.Budget) bool {
		a, ok := b.Account(h)
		return ok && a.Zone == zone
	})
}

func (k *Keeper) tryClose(ctx context.Context, slot ident.Slot, dead ident.Incarnation) {
	err := k.closeHolder(ctx, slot, dead)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		delete(k.stranded, dead)
		return
	}
	old, known := k.stranded[dead]
	if !known {
		old = Stranding{Holder: dead, Zone: k.Self.Zone, Since: k.Clock.Now()}
	}
	if old.Why != err.Error() {
		old.Why = err.Error()
		k.Events.Add(event.Event{Step: event.Close, Peer: string(dead), Decision: "not closed yet", Reason: old.Why})
	}
	k.stranded[dead] = old
}

// Stranded lists the dead holders whose accounts can't be closed yet.
func (k *Keeper) Stranded() []Stranding {
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.Values(k.stranded)
}

// closeHolder closes one slot's accounts of a dead holder exactly: its entries
// and witnesses tell what ran under it and promise to run nothing more.
func (k *Keeper) closeHolder(ctx context.Context, slot ident.Slot, dead ident.Incarnation) error {
	records, err := k.gather(ctx, dead)
	if err != nil {
		return err
	}
	records = lo.Filter(records, func(r holder.Record, _ int) bool { return r.Slot == slot })
	records = k.endOrphans(ctx, records)
	durable, err := k.segmentBills(ctx, slot, dead)
	if err != nil {
		return err
	}
	fresh, open := k.split(records, durable)
	if err := k.writeClosing(ctx, slot, dead, fresh); err != nil {
		return err
	}
	err = k.update(ctx, slot, func(doc ledger.Slot) (ledger.Slot, error) {
		c := ledger.Closure{Holder: dead, Settled: settledBy(doc, dead, durable, fresh), Open: open}
		return doc.Close(c)
	})
	if err != nil {
		return err
	}
	k.tellDurable(ctx, fresh)
	if len(open) > 0 {
		return errors.Newf("%d budgets have requests that still run under it", len(open))
	}
	k.Events.Add(event.Event{Step: event.Close, Peer: string(dead), Decision: fmt.Sprintf("closed in slot %d", slot), Reason: "every entry of the zone has reported"})
	return nil
}

// gather fences a dead holder at every reachable node of the zone and collects
// what they know. It fails while a VM that may know more has not answered.
func (k *Keeper) gather(ctx context.Context, dead ident.Incarnation) ([]holder.Record, error) {
	answers := []peer.Fenced{k.Fence(peer.Fencing{Holder: dead})}
	view := k.View()
	for _, m := range view.Members() {
		if m.Zone != k.Self.Zone || m.Incarnation == "" || m.Incarnation == dead || m.Phase == membership.Left {
			continue
		}
		answer, err := k.Peers.Fence(ctx, m, peer.Fencing{Holder: dead})
		if err != nil {
			return nil, errors.Newf("node %s has not reported what it ran under it", m.Node)
		}
		answers = append(answers, answer)
	}
	last, ok := latest(answers)
	if !ok {
		return nil, errors.New("no live node has heard what it last said of its records")
	}
	answered := lo.SliceToMap(answers, func(a peer.Fenced) (ident.Incarnation, bool) { return a.From, true })
	if err := complete(dead, last, view.Departed(k.Self.Zone), answered); err != nil {
		return nil, err
	}
	return merge(answers), nil
}

func latest(answers []peer.Fenced) (membership.Member, bool) {
	var last membership.Member
	found := false
	for _, a := range answers {
		if a.Last != nil && (!found || a.Last.Beat > last.Beat) {
			last, found = *a.Last, true
		}
	}
	return last, found
}

// complete fails where a record of the dead holder may be known to no live VM:
// it had one alone, or another VM of the zone went in its time and neither said
// before its end that nothing depended on that one any more.
func complete(dead ident.Incarnation, last membership.Member, departed []membership.Departed, answered map[ident.Incarnation]bool) error {
	if last.Alone {
		return errors.New("some of its requests were known to no other VM")
	}
	born := bornAt(dead)
	words := lo.SliceToMap(departed, func(d membership.Departed) (ident.Incarnation, membership.Member) { return d.Incarnation, d.Member })
	for _, d := range departed {
		if _, ok := last.Recovery(d.Incarnation); ok || d.Incarnation == dead {
			continue
		}
		if d.At.Before(born.Add(-clockSkew)) {
			continue
		}
		if !passedOn(dead, d.Member, words, answered) {
			return errors.Newf("node %s died with it and may have known more", d.Incarnation)
		}
	}
	return nil
}

// passedOn reports whether everything that a gone node knew of a dead holder is
// with nodes that have answered, or was passed on by those to some that have.
func passedOn(dead ident.Incarnation, gone membership.Member, words map[ident.Incarnation]membership.Member, answered map[ident.Incarnation]bool) bool {
	word, ok := gone.Recovery(dead)
	return ok && lo.EveryBy(word.KeptBy, func(i ident.Incarnation) bool {
		if answered[i] {
			return true
		}
		next, ok := words[i].Recovery(dead)
		return ok && len(next.KeptBy) > 0 && lo.EveryBy(next.KeptBy, func(j ident.Incarnation) bool { return answered[j] })
	})
}

// bornAt is when an incarnation began, from its serial.
func bornAt(i ident.Incarnation) time.Time {
	id, err := ulid.Parse(i.Serial())
	if err != nil {
		return time.Time{}
	}
	return ulid.Time(id.Time())
}

// merge takes the furthest phase of each record that was reported.
func merge(answers []peer.Fenced) []holder.Record {
	byID := map[ident.Request]holder.Record{}
	for _, a := range answers {
		for _, r := range a.Records {
			if old, ok := byID[r.Request]; !ok || old.Phase != holder.Settled {
				byID[r.Request] = r
			}
		}
	}
	return lo.Values(byID)
}

// endOrphans asks the engines about open records whose entry is lost.
func (k *Keeper) endOrphans(ctx context.Context, records []holder.Record) []holder.Record {
	return lo.Map(records, func(r holder.Record, _ int) holder.Record {
		if !k.abandoned(r) {
			return r
		}
		usage, ended := k.outcome(ctx, r, k.View().Gone(r.Entry))
		if !ended {
			return r
		}
		r = r.WithEnd(usage, nil, k.Clock.Now())
		k.testify(witness.Store{Record: r})
		return r
	})
}

// split parts the records into bills that are not durable yet and reservations
// that may still run.
func (k *Keeper) split(records []holder.Record, durable []segmentBill) (fresh []holder.Record, open map[ident.Budget]int64) {
	known := lo.SliceToMap(durable, func(b segmentBill) (ident.Request, bool) { return b.Request, true })
	open = map[ident.Budget]int64{}
	for _, r := range records {
		switch {
		case known[r.Request]:
		case r.Phase == holder.Settled:
			fresh = append(fresh, r)
		case r.Budget != "":
			open[r.Budget] += r.Bound
		}
	}
	return fresh, open
}

type segmentBill struct {
	bill.Bill
	segment int64
}

// segmentBills reads the bills that a dead holder or its closers made durable lately.
func (k *Keeper) segmentBills(ctx context.Context, slot ident.Slot, dead ident.Incarnation) ([]segmentBill, error) {
	prefix := segmentPrefix(k.Self.Zone, dead)
	page, err := k.Platform.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	mark := k.segmentMark(slot, dead)
	var found []segmentBill
	for _, o := range page.Objects {
		seq, closing := parseSegment(strings.TrimPrefix(o.Key, prefix))
		if !closing && seq <= mark-recentSegments {
			continue
		}
		bills, err := k.segmentOf(ctx, o.Key)
		if err != nil {
			return nil, err
		}
		for _, b := range bills {
			if k.SlotOf(b.Customer) == slot {
				found = append(found, segmentBill{Bill: b, segment: seq})
			}
		}
	}
	return found, nil
}

func (k *Keeper) segmentOf(ctx context.Context, key string) ([]bill.Bill, error) {
	o, err := k.Platform.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrapf(err, "read segment %s", key)
	}
	var s bill.Segment
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return nil, errors.Wrapf(err, "decode segment %s", key)
	}
	return s.Bills, nil
}

// parseSegment reads the name of a segment; those of closers sort after all others.
func parseSegment(name string) (seq int64, closing bool) {
	if _, err := fmt.Sscanf(name, "%010d", &seq); err != nil || strings.HasPrefix(name, closingPrefix) {
		return int64(1) << 60, true
	}
	return seq, false
}

const closingPrefix = "closing-"

// segmentMark is the last segment that the dead holder's settled counters cover.
func (k *Keeper) segmentMark(slot ident.Slot, dead ident.Incarnation) int64 {
	s := k.slotSync(slot)
	s.mu.Lock()
	defer s.mu.Unlock()
	var mark int64
	for _, b := range s.slot.Budgets {
		if a, ok := b.Account(dead); ok {
			mark = max(mark, a.Segment)
		}
	}
	return mark
}

// settledBy is what a dead holder settled in all, by budget: the ledger's
// counters, each later bill once, and what only witnesses knew.
func settledBy(doc ledger.Slot, dead ident.Incarnation, durable []segmentBill, fresh []holder.Record) map[ident.Budget]int64 {
	settled := map[ident.Budget]int64{}
	marks := map[ident.Budget]int64{}
	for _, b := range doc.Budgets {
		if a, ok := b.Account(dead); ok {
			settled[b.Name], marks[b.Name] = a.Settled, a.Segment
		}
	}
	earlier := map[ident.Request]bool{}
	for _, b := range durable {
		if b.segment <= marks[b.Budget] {
			earlier[b.Request] = true
		}
	}
	for _, b := range lo.UniqBy(durable, func(b segmentBill) ident.Request { return b.Request }) {
		if !earlier[b.Request] {
			settled[b.Budget] += b.Tokens
		}
	}
	for _, r := range fresh {
		if r.Billable() {
			settled[r.Budget] += r.Usage.Tokens()
		}
	}
	return settled
}

// writeClosing makes the bills durable that only witnesses knew.
func (k *Keeper) writeClosing(ctx context.Context, slot ident.Slot, dead ident.Incarnation, fresh []holder.Record) error {
	billable := lo.Filter(fresh, func(r holder.Record, _ int) bool { return r.Billable() })
	if len(billable) == 0 {
		return nil
	}
	segment := bill.Segment{Holder: dead, Bills: lo.Map(billable, func(r holder.Record, _ int) bill.Bill { return r.Bill() })}
	key := segmentPrefix(k.Self.Zone, dead) + closingPrefix + fmt.Sprintf("%d-%s", slot, k.NewSerial())
	_, err := k.Platform.Put(ctx, key, 0, segment)
	if errors.Is(err, platform.ErrUnknown) {
		return errors.Wrap(err, "write closing segment") // read again at the next try
	}
	return errors.Wrap(err, "write closing segment")
}
