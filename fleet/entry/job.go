package entry

import (
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/backend"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
)

// errStaleIncarnation prevents a request from being sent after its node's incarnation has ended.
var errStaleIncarnation = errors.Mark(errors.New("this node's incarnation is over"), backend.ErrNotStarted)

// job is the state that the attempts of chat and plain calls have in common.
type job struct {
	entry  *Entry
	run    *run
	req    dispatch.Request
	record holder.Record
	grant  dispatch.Grant
}

// attempt returns the current or last attempt.
func (j *job) attempt() holder.Attempt { return j.record.Attempts[len(j.record.Attempts)-1] }

// isStale reports whether the request was admitted for an earlier incarnation of this node.
// Other nodes may have settled it since.
func (j *job) isStale() bool { return j.record.Entry != j.entry.Keeper.Incarnation() }

func (j *job) explain(step event.Step, decision, reason string) {
	j.entry.Events.Add(event.Event{Request: j.record.Request, Step: step, Peer: string(j.attempt().Endpoint), Decision: decision, Reason: reason})
}
