package keeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
)

// checkComplete fails if a record of the dead holder may be known to no live VM. This is so
// if the holder alone had some record, or if another VM of the zone departed during the
// holder's lifetime and neither of them announced before its end that no record
// depended on the departed VM any more.
func checkComplete(dead ident.Incarnation, last membership.Member, departed []membership.GoneMember, answered map[ident.Incarnation]bool) error {
	if last.Alone {
		return errors.New("some of its requests were known to no other VM")
	}
	started := startedAt(dead)
	members := lo.SliceToMap(departed, func(d membership.GoneMember) (ident.Incarnation, membership.Member) { return d.Incarnation, d.Member })
	for _, d := range departed {
		if _, ok := last.Recovery(d.Incarnation); ok || d.Incarnation == dead {
			continue
		}
		if d.At.Before(started.Add(-clockSkew)) {
			continue
		}
		if !copiesAnswered(dead, d.Member, members, answered) {
			return errors.Newf("node %s died with it and may have known more", d.Incarnation)
		}
	}
	return nil
}

// copiesAnswered reports whether all records that a departed node had of a dead holder were
// copied to nodes that have answered, or by these nodes to others that have answered.
func copiesAnswered(dead ident.Incarnation, gone membership.Member, members map[ident.Incarnation]membership.Member, answered map[ident.Incarnation]bool) bool {
	recovery, ok := gone.Recovery(dead)
	return ok && lo.EveryBy(recovery.KeptBy, func(i ident.Incarnation) bool {
		if answered[i] {
			return true
		}
		next, ok := members[i].Recovery(dead)
		return ok && len(next.KeptBy) > 0 && lo.EveryBy(next.KeptBy, func(j ident.Incarnation) bool { return answered[j] })
	})
}

// startedAt returns the start time of an incarnation, taken from its serial.
func startedAt(i ident.Incarnation) time.Time {
	id, err := ulid.Parse(i.Serial())
	if err != nil {
		return time.Time{}
	}
	return ulid.Time(id.Time())
}
