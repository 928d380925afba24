package forward

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/reachability"
	"github.com/lynxshed/lynxshed/fleet/relay/tunnel"
)

// recordUnconnected records an endpoint to which no connection was established. An attempt that
// the call's end cut short shows nothing, nor does one during a stall of the process.
func (j *job) recordUnconnected(ctx context.Context, t *choice.Placement, err error, started time.Time) {
	switch {
	case j.Reachability == nil || ctx.Err() != nil || !j.stalls.usable(started):
	case errors.Is(err, tunnel.ErrUnreachable):
		j.Reachability.FailedElsewhere(t.Engine, clock.Now())
	case errors.Is(err, tunnel.ErrNotReached): // shows nothing about this node's own path
	default:
		j.Reachability.Failed(t.Engine, reachability.NotConnected, clock.Now())
	}
}

// recordBroken records a connection of this node that broke or fell silent before an answer.
func (j *job) recordBroken(ctx context.Context, t *choice.Placement, used *connUse, err error, started time.Time) {
	var network net.Error
	closed := errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF)
	broken := errors.Is(err, errSilent) || ctx.Err() == nil && (closed || errors.As(err, &network))
	if broken && j.stalls.usable(started) {
		j.recordNoAnswer(t, used)
	}
}

// recordNoAnswer records a connection without an answer. A tunnel shows nothing about this node's
// own path.
func (j *job) recordNoAnswer(t *choice.Placement, used *connUse) {
	if j.Reachability != nil && used.via() == "" {
		j.Reachability.Failed(t.Engine, reachability.NoAnswer, clock.Now())
	}
}

// recordReached records an answer over a connection of this node.
func (j *job) recordReached(t *choice.Placement, used *connUse, now time.Time) {
	if j.Reachability != nil && used != nil && used.conn != nil && used.via() == "" {
		j.Reachability.Answered(t.Engine, used.conn.opened, now)
	}
}

// ownPathFailed reports whether a failed attempt is probably the fault of this node's own path, so
// that it is no evidence on the endpoint.
func (j *job) ownPathFailed(r choice.Result) bool {
	switch r {
	case choice.Bad, choice.Interrupted, choice.Unreached:
		return j.Reachability != nil && j.via == "" && !j.reported.answered && j.Reachability.Partitioned(j.service.Name)
	case choice.Good, choice.Rejected, choice.Gone, choice.Neutral:
	}
	return false
}

// describePath adds to the log fields what this node knows of its path to the call's service.
func (j *job) describePath(fields log.Fields) {
	if j.via != "" {
		fields["via"] = j.via
	}
	if j.conn.isUnidentified() {
		fields["incarnation"] = "not told"
	}
	if j.Reachability == nil {
		return
	}
	e := j.Reachability.Evidence(j.service.Name, clock.Now())
	fields["notReached"] = e.Failed
	if e.Answered >= 0 {
		fields["answeredMsAgo"] = e.Answered.Milliseconds()
	}
}
