package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// probeTurn is the time after which the next node probes: an end under the first probe is known
// by then.
const probeTurn = 10 * time.Second

// probeLater has this node probe a request that is held back, in its turn. Whether it was
// answered before may be known only by then.
func (q *quarantined) probeLater(h quarantine.Held) {
	time.AfterFunc(clock.Until(q.ProbeAt(h)), func() {
		turn := q.turn(h.Print.String())
		if turn >= quarantine.MostProbes {
			return
		}
		time.Sleep(time.Duration(turn) * probeTurn)
		q.probe(h)
	})
}

// probe claims one of the probes of a round in the store, so that nodes that are cut off from
// each other, or start anew, send no more of them together than one would. It waits for the store
// as long as the request is held back.
func (q *quarantined) probe(h quarantine.Held) {
	entry := q.log.WithFields(log.Fields{"print": h.Print.String(), "customer": h.Customer, "round": h.Round})
	for try := 0; ; try++ {
		if !q.MayProbe(h, clock.Now()) {
			return
		}
		claimed, ok, err := q.claim(h)
		if err == nil {
			entry.WithField("probes", claimed.Probes).WithField("claimed", ok).Info("probe of a request that is held back: the next call of it is sent on if this node claimed it")
			if ok {
				q.Arm(claimed)
			}
			return
		}
		entry.WithField("dependency", "store").WithError(err).Warn("probe of a request that is held back not claimed yet")
		time.Sleep(store.Jittered(pauseAfter(try)))
	}
}

// claim counts one more probe of a round in the store, if any is left. What is not kept there
// yet, or no longer, is not probed: a request that was let go would be kept again.
func (q *quarantined) claim(h quarantine.Held) (claimed quarantine.Held, ok bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	o, err := q.store.Get(ctx, quarantineKind, h.Print.String())
	if err != nil {
		return h, false, err
	}
	there, err := keptOf(o)
	if err != nil {
		return h, false, err
	}
	if now, known := q.Of(h.Print); known && now.Round == h.Round {
		h.Probes = max(h.Probes, now.Probes) // the store may be back from a copy of before
	}
	if there.Round == h.Round {
		h.Probes = max(h.Probes, there.Probes)
	}
	if there.Round > h.Round || h.Probes >= quarantine.MostProbes {
		return h, false, nil
	}
	h.Probes, h.Answered = h.Probes+1, true // else it would not be probed
	if o.Data, err = kept(h); err != nil {
		return h, false, err
	}
	_, err = q.store.Put(ctx, o)
	return h, err == nil, err
}

// kept is a request as the store keeps it: of no age, since the store has no clock that only
// goes on.
func kept(h quarantine.Held) (json.RawMessage, error) {
	word := quarantine.WordOf(h, h.Since)
	word.Stored = true
	data, err := json.Marshal(word)
	return data, errors.Wrap(err, "request to keep")
}
