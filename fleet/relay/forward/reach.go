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
)

// recordUnconnected records an endpoint to which no connection was established. An attempt that
// the call's end cut short shows nothing, nor does one during a stall of the process.
func (j *job) recordUnconnected(ctx context.Context, t *choice.Placement, started time.Time) {
	if ctx.Err() == nil && j.stalls.usable(started) {
		j.recordUnreached(t, reachability.NotConnected)
	}
}

// recordBroken records a connection of this node that broke or fell silent before an answer.
func (j *job) recordBroken(ctx context.Context, t *choice.Placement, err error, started time.Time) {
	var network net.Error
	closed := errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF)
	broken := errors.Is(err, errSilent) || ctx.Err() == nil && (closed || errors.As(err, &network))
	if broken && j.stalls.usable(started) {
		j.recordUnreached(t, reachability.NoAnswer)
	}
}

func (j *job) recordUnreached(t *choice.Placement, kind reachability.Failure) {
	if j.Reachability != nil {
		j.Reachability.Failed(t.Engine, kind, clock.Now())
	}
}

// recordReached records an answer over a connection of this node.
func (j *job) recordReached(t *choice.Placement, used *connUse, now time.Time) {
	if j.Reachability != nil && used != nil && used.conn != nil {
		j.Reachability.Answered(t.Engine, used.conn.opened, now)
	}
}

// describePath adds to the log fields what this node knows of its path to the call's service.
func (j *job) describePath(fields log.Fields) {
	if j.Reachability == nil {
		return
	}
	e := j.Reachability.Evidence(j.service.Name, clock.Now())
	fields["notReached"] = e.Failed
	if e.Answered >= 0 {
		fields["answeredMsAgo"] = e.Answered.Milliseconds()
	}
}
