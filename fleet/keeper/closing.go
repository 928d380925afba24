package keeper

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

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

// gatherResult holds the records that the zone's nodes have of a dead holder, or why they may be incomplete.
type gatherResult struct {
	records []holder.Record
	err     error
}

// closeDead closes the accounts of dead holders in the slots that this node
// holds. Records are gathered once per round and holder, since the holder is
// fenced by then and nothing more runs under it.
func (k *Keeper) closeDead(ctx context.Context) {
	gathered := map[ident.Incarnation]gatherResult{}
	failed := map[ident.Incarnation]error{}
	for _, slot := range k.Holding().Slots() {
		if !k.isHolder(slot) {
			continue
		}
		s := k.slotSync(slot)
		s.mu.Lock()
		doc := s.slot
		s.mu.Unlock()
		for _, dead := range deadHolders(doc, k.Self.Zone, k.Incarnation(), k.View()) {
			g, ok := gathered[dead]
			if !ok {
				g.records, g.err = k.gather(ctx, dead)
				gathered[dead] = g
			}
			if err := k.closeHolder(ctx, slot, dead, g); err != nil {
				failed[dead] = err
			}
		}
	}
	k.setStranded(failed)
}

// setStranded replaces the stranded holders by those whose accounts could not be closed
// in this round; another node may have closed the others.
func (k *Keeper) setStranded(failed map[ident.Incarnation]error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	stranded := map[ident.Incarnation]StrandedHolder{}
	for dead, err := range failed {
		s, known := k.stranded[dead]
		if !known {
			s = StrandedHolder{Holder: dead, Zone: k.Self.Zone, Since: k.Clock.Now()}
		}
		if s.Why != err.Error() {
			s.Why = err.Error()
			k.Events.Add(event.Event{Step: event.Close, Peer: string(dead), Decision: "not closed yet", Reason: s.Why})
		}
		stranded[dead] = s
	}
	k.stranded = stranded
}

// deadHolders returns the holders of a zone that have an account in the slot and have ended,
// including earlier incarnations of this node.
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

// Stranded returns the dead holders whose accounts can't be closed yet.
func (k *Keeper) Stranded() []StrandedHolder {
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.Values(k.stranded)
}

// closeHolder closes a dead holder's accounts in one slot with exact amounts: its entry
// VMs and witnesses report what ran under it and promise to run nothing more.
func (k *Keeper) closeHolder(ctx context.Context, slot ident.Slot, dead ident.Incarnation, g gatherResult) error {
	if g.err != nil {
		return g.err
	}
	records := lo.Filter(g.records, func(r holder.Record, _ int) bool { return r.Slot == slot })
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
	k.notifyDurable(ctx, fresh)
	if len(open) > 0 {
		return errors.Newf("%d budgets have requests that still run under it", len(open))
	}
	k.Events.Add(event.Event{Step: event.Close, Peer: string(dead), Decision: fmt.Sprintf("closed in slot %d", slot), Reason: "every entry of the zone has reported"})
	return nil
}

// gather fences a dead holder at every reachable node of the zone and collects
// their records of it. It fails while a VM that may have more records has not answered.
func (k *Keeper) gather(ctx context.Context, dead ident.Incarnation) ([]holder.Record, error) {
	answers := []peer.FenceResponse{k.Fence(peer.FenceRequest{Holder: dead})}
	view := k.View()
	for _, m := range view.Members() {
		if m.Zone != k.Self.Zone || m.Incarnation == "" || m.Incarnation == dead || m.Phase == membership.Left {
			continue
		}
		answer, err := k.Peers.Fence(ctx, m, peer.FenceRequest{Holder: dead})
		if err != nil {
			return nil, errors.Newf("node %s has not reported what it ran under it", m.Node)
		}
		answers = append(answers, answer)
	}
	last, ok := latest(answers)
	if !ok {
		last, ok = latest(k.queryOtherZones(ctx, dead))
	}
	if !ok {
		return nil, errors.New("no live node has heard what it last said of its records")
	}
	answered := lo.SliceToMap(answers, func(a peer.FenceResponse) (ident.Incarnation, bool) { return a.From, true })
	if err := checkComplete(dead, last, view.GoneMembers(k.Self.Zone), answered); err != nil {
		return nil, err
	}
	return merge(answers), nil
}

// maxRemoteNodes is how many nodes of other zones are asked for a dead holder's last heartbeat.
const maxRemoteNodes = 6

// queryOtherZones asks nodes of other zones for a dead holder's last heartbeat. It is needed where
// no node of its own zone has received one, as in a zone of one VM.
func (k *Keeper) queryOtherZones(ctx context.Context, dead ident.Incarnation) []peer.FenceResponse {
	far := lo.Filter(k.View().Live(k.Clock.Now()), func(m membership.Member, _ int) bool { return m.Zone != k.Self.Zone })
	var answers []peer.FenceResponse
	for _, m := range far[:min(len(far), maxRemoteNodes)] {
		if answer, err := k.Peers.Fence(ctx, m, peer.FenceRequest{Holder: dead}); err == nil {
			answers = append(answers, answer)
		}
	}
	return answers
}

// latest returns the latest heartbeat of the dead holder among the answers.
func latest(answers []peer.FenceResponse) (membership.Member, bool) {
	var last membership.Member
	found := false
	for _, a := range answers {
		if a.Last != nil && (!found || a.Last.Beat > last.Beat) {
			last, found = *a.Last, true
		}
	}
	return last, found
}

// merge returns one copy of each reported record, a settled one if there is any.
func merge(answers []peer.FenceResponse) []holder.Record {
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

// endOrphans settles open records whose entry VM is gone, by the outcomes that engines report.
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
		k.handleWitness(witness.Store{Record: r})
		return r
	})
}

// split divides the records into settled ones whose bills are not durable yet, and the
// tokens reserved for requests that may still run.
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

// settledBy returns what a dead holder settled in total, by budget: the ledger's
// counters, each later bill once, and the records that only witnesses have.
func settledBy(doc ledger.Slot, dead ident.Incarnation, durable []segmentBill, fresh []holder.Record) map[ident.Budget]int64 {
	settled := map[ident.Budget]int64{}
	marks := map[ident.Budget]int64{}
	for _, b := range doc.Budgets {
		if a, ok := b.Account(dead); ok {
			settled[b.Name], marks[b.Name] = a.Settled, a.Segment
		}
	}
	earlier := map[billLine]bool{}
	for _, b := range durable {
		if b.segment <= marks[b.Budget] {
			earlier[b.line()] = true
		}
	}
	for _, b := range lo.UniqBy(durable, segmentBill.line) {
		if !earlier[b.line()] {
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

// writeClosing writes a segment with the bills that only witnesses have.
func (k *Keeper) writeClosing(ctx context.Context, slot ident.Slot, dead ident.Incarnation, fresh []holder.Record) error {
	billable := lo.Filter(fresh, func(r holder.Record, _ int) bool { return r.Billable() })
	if len(billable) == 0 {
		return nil
	}
	segment := bill.Segment{Holder: dead, Bills: lo.Map(billable, func(r holder.Record, _ int) bill.Bill { return r.Bill() })}
	key := segmentPrefix(k.Self.Zone, dead) + closingPrefix + fmt.Sprintf("%d-%s", slot, k.NewSerial())
	_, err := k.Platform.Put(ctx, key, 0, segment)
	if errors.Is(err, platform.ErrUnknown) {
		return errors.Wrap(err, "write closing segment") // the next attempt reads it again
	}
	return errors.Wrap(err, "write closing segment")
}
