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

// probeSlot is the time after which the next node probes: an endpoint that ends under the first
// probe is known by then.
const probeSlot = 10 * time.Second

// scheduleProbe has this node probe a quarantined request in its slot. Whether the request was
// answered before may be known only by then.
func (q *quarantineManager) scheduleProbe(h quarantine.Held) {
	time.AfterFunc(clock.Until(q.ProbeAt(h)), func() {
		slot := q.slot(h.Fingerprint.String())
		if slot >= quarantine.MaxProbes {
			return
		}
		time.Sleep(time.Duration(slot) * probeSlot)
		q.probe(h)
	})
}

// probe claims one of the probes of a round in the store, so that nodes that are partitioned or
// restart send no more of them together than one node would. It waits for the store for as long as
// the request is quarantined.
func (q *quarantineManager) probe(h quarantine.Held) {
	entry := q.log.WithFields(log.Fields{"print": h.Fingerprint.String(), "customer": h.Customer, "round": h.Round})
	for attempt := 0; ; attempt++ {
		probes := q.Probes(h, clock.Now())
		if probes == 0 {
			return
		}
		claimed, ok, err := q.claim(h, probes)
		if err == nil {
			entry.WithField("probes", claimed.Probes).WithField("claimed", ok).Info("probe of a quarantined request: its next call is sent if this node claimed the probe")
			if ok {
				q.Arm(claimed)
			}
			return
		}
		entry.WithField("dependency", "store").WithError(err).Warn("probe of a quarantined request not claimed yet")
		time.Sleep(store.Jittered(retryDelay(attempt)))
	}
}

// claim counts one more probe of a round in the store, if any of most is left. A request that is not
// stored yet, or no longer, is not probed: the claim would store a released request again.
func (q *quarantineManager) claim(h quarantine.Held, most int) (claimed quarantine.Held, ok bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	o, err := q.store.Get(ctx, quarantineKind, h.Fingerprint.String())
	if err != nil {
		return h, false, err
	}
	there, err := decodeHeld(o)
	if err != nil {
		return h, false, err
	}
	if now, known := q.Lookup(h.Fingerprint); known && now.Round == h.Round {
		h.Probes = max(h.Probes, now.Probes) // the store may have been restored from an earlier backup
	}
	if there.Round == h.Round {
		h.Probes = max(h.Probes, there.Probes)
	}
	if there.Round > h.Round || h.Probes >= most {
		return h, false, nil
	}
	h.Probes, h.Answered = h.Probes+1, h.Answered || most == quarantine.MaxProbes
	if o.Data, err = encodeHeld(h); err != nil {
		return h, false, err
	}
	_, err = q.store.Put(ctx, o)
	return h, err == nil, err
}

// encodeHeld encodes a request for the store. Its age is zero, since the store has no monotonic
// clock.
func encodeHeld(h quarantine.Held) (json.RawMessage, error) {
	report := quarantine.ReportOf(h, h.Since)
	report.Stored = true
	data, err := json.Marshal(report)
	return data, errors.Wrap(err, "encode quarantined request")
}
