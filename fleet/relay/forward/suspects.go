package forward

import (
	"github.com/apex/log"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// print tells the call's request again under any id. It is worked out once, and only
// where it is asked for, since it reads the whole body.
func (j *job) print() quarantine.Print {
	if j.printed == (quarantine.Print{}) {
		j.printed = quarantine.PrintOf(j.tenant.Name, j.r.Method, j.r.Host, j.r.RequestURI, j.body)
	}
	return j.printed
}

// logBroken tells of a stream that broke off: what was cut together, and whether the same
// request was cut before, can be read from the lines of one endpoint, and of one print.
func (j *job) logBroken(t *choice.Placement, events int64, err error) {
	j.Log.WithFields(log.Fields{
		"request": j.call.ID, "print": j.print().String(), "endpoint": t.Engine.ID, "address": t.Engine.Address, "attempt": j.attempts,
		"events": events, "left": j.r.Context().Err() != nil, "error": err.Error(),
	}).Info("stream broke off")
}
