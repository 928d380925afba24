package keeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
)

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
