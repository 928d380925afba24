package entry

import (
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
)

// errOver keeps a request from being sent under an incarnation that is over.
var errOver = errors.Mark(errors.New("this node's incarnation is over"), backend.ErrNotStarted)

// job is what the attempts of any call have in common.
type job struct {
	entry  *Entry
	run    *run
	ask    dispatch.Request
	record holder.Record
	grant  dispatch.Grant
}

// attempt is the one that runs or ran last.
func (j *job) attempt() holder.Attempt { return j.record.Attempts[len(j.record.Attempts)-1] }

// isOver reports whether the request was admitted for an earlier incarnation of
// this node: others may have closed its books by now.
func (j *job) isOver() bool { return j.record.Entry != j.entry.Keeper.Incarnation() }

func (j *job) explain(step event.Step, decision, reason string) {
	j.entry.Events.Add(event.Event{Request: j.record.Request, Step: step, Peer: string(j.attempt().Endpoint), Decision: decision, Reason: reason})
}
