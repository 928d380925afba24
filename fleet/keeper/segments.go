package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/ident"
)

// segmentBill is a bill and the number of the segment that it is in.
type segmentBill struct {
	bill.Bill
	segment int64
}

// billLine identifies a bill. It distinguishes a bill from the one that reverses it.
type billLine struct {
	request ident.Request
	void    bool
}

func (b segmentBill) line() billLine { return billLine{request: b.Request, void: b.Void} }

// segmentBills reads the recent bills in segments of a dead holder, including those written by
// nodes that closed its accounts.
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

// parseSegment parses the name of a segment. Closing segments sort after all others.
func parseSegment(name string) (seq int64, closing bool) {
	if _, err := fmt.Sscanf(name, "%010d", &seq); err != nil || strings.HasPrefix(name, closingPrefix) {
		return int64(1) << 60, true
	}
	return seq, false
}

const closingPrefix = "closing-"

// segmentMark returns the last segment that the dead holder's settled counters cover.
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
