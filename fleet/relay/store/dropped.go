package store

import (
	"time"

	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/clock"
)

// droppedLogInterval is the minimum time between two log lines about dropped answers.
const droppedLogInterval = time.Second

// Dropped logs answers that were dropped because they are older than what is known, as a
// store restored to an earlier state or a source that lags behind gives them. It is not
// safe for concurrent use.
type Dropped struct {
	Log    log.Interface // nil: nothing is logged
	logged time.Time     // when it last logged
}

// Report logs a dropped answer, at most one per droppedLogInterval; call is the call that
// returned it.
func (d *Dropped) Report(kind, call string, at, known Revision) {
	now := clock.Now()
	if d.Log == nil || now.Sub(d.logged) < droppedLogInterval {
		return
	}
	d.logged = now
	d.Log.WithFields(log.Fields{
		"dependency": "store", "of": kind, "call": call, "revision": at.Number(), "era": at.Era(), "known": known.Number(), "knownEra": known.Era(),
	}).Warn("dropped an answer older than the known revision")
}
