package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// An answer with neither a length nor chunks ends with its connection. If its endpoint's process ends in
// the middle, the kernel closes the connection in the same way. So such an answer counts as complete only
// if the incarnation that sent it still runs after the end.

const (
	// endingTimeout bounds the question whether an incarnation still runs. Only the end of the answer
	// waits for it, and sound endpoints may pause for a second or so.
	endingTimeout = 1200 * time.Millisecond
	// askAgainAfter is when an endpoint that took a connection and reset it is asked again: by then the
	// listener of a process that was ending is closed.
	askAgainAfter = 20 * time.Millisecond
)

// errEnded means that an answer's endpoint has restarted since it began the answer.
var errEnded = errors.New("the answer ended with its connection, and its endpoint has restarted since")

// errReplaced means the same where another endpoint has its address now.
var errReplaced = errors.Mark(errors.New("the answer ended with its connection, and another endpoint has its address now"), errEnded)

// errUnconfirmed means that nothing shows whether an answer is complete. It is no evidence that its endpoint
// has ended: this node may reach none on new connections.
var errUnconfirmed = errors.New("nothing shows that the answer is complete")

// confirmComplete returns nil if an answer whose body has ended is complete.
func (j *job) confirmComplete(ctx context.Context, t *choice.Placement, o answered) error {
	if framingOf(o.resp) != unframed {
		return nil
	}
	err := j.Transport.confirmRuns(ctx, j.Wire, t.Engine, o.born)
	if err == nil || errors.Is(err, errEnded) || j.connectsToAnother(ctx, t.Engine) {
		return err
	}
	return errors.Mark(err, errUnconfirmed)
}

// maxOthersAsked bounds how many other endpoints of a service are asked for a connection.
const maxOthersAsked = 3

// connectsToAnother reports whether another endpoint of the service takes a new connection from this node.
func (j *job) connectsToAnother(ctx context.Context, e engine.Engine) bool {
	engines := j.Engines.Load()
	if engines == nil {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer clock.StartTimeout(identityTimeout, cancel).Stop()
	others := lo.Reject(engines.Of(j.service.Name), func(other engine.Engine, _ int) bool { return other.Address == e.Address })
	return lo.SomeBy(others[:min(len(others), maxOthersAsked)], func(other engine.Engine) bool {
		c, err := j.Transport.open(withEndpoint(ctx, other), "tcp", other.Address)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
}

var (
	// errNoEvents means that a stream ended with its connection before its first event.
	errNoEvents = errors.New("the stream ended with its connection, without any event")
	// errEventOwed means that a stream ended without the event inside which an earlier part of it was cut.
	errEventOwed = errors.New("the stream ended without the event inside which it was cut before")
)

// confirmComplete returns nil if a stream whose body has ended is complete. One that goes on after a last
// event may have nothing more to say.
func (s *streamRelay) confirmComplete(ctx context.Context, t *choice.Placement, o answered) error {
	if s.owed {
		return errEventOwed
	}
	if s.isEmpty() && framingOf(o.resp) == unframed && o.resp.StatusCode < http.StatusBadRequest {
		return errNoEvents
	}
	return s.job.confirmComplete(ctx, t, o)
}

// isEmpty reports whether no piece of a stream from its beginning has come.
func (s *streamRelay) isEmpty() bool { return s.lastID == "" && !s.part.brought }

// confirmRuns returns nil if the incarnation of an endpoint that has just closed a connection still runs.
// A birth of 0 means that the incarnation is not known. An endpoint that takes connections and resets them
// runs, too: it has as many as it takes, while the kernel refuses connections to a process that ended.
func (t *Transport) confirmRuns(ctx context.Context, w call.Wire, e engine.Engine, born int64) error {
	ctx, cancel := context.WithCancel(withEndpoint(ctx, e))
	defer cancel()
	defer clock.StartTimeout(endingTimeout, cancel).Stop()
	told, err := t.askRunning(ctx, w, e)
	if errors.IsAny(err, errTurnedAway, errTunnelEnded) {
		clock.Pause(ctx, askAgainAfter)
		told, err = t.askRunning(ctx, w, e)
	}
	switch {
	case err == nil, errors.Is(err, errTurnedAway) && ctx.Err() == nil:
		return whyEnded(born, told)
	case errors.Is(err, errReplaced):
		return err
	}
	return errors.Wrap(err, "the answer ended with its connection, and its endpoint does not answer any more")
}

func whyEnded(born, told int64) error {
	if born != 0 && told != 0 && born != told {
		return errEnded
	}
	return nil
}

var (
	// errTurnedAway means that an endpoint took a connection and closed it without an answer.
	errTurnedAway = errors.New("the endpoint closed the connection without an answer")
	// errTunnelEnded means the same through another node, which may have ended instead.
	errTunnelEnded = errors.New("the connection through another node was closed without an answer")
)

// askRunning asks an endpoint on a new connection which incarnation runs; 0 means that it answers and does
// not tell.
func (t *Transport) askRunning(ctx context.Context, w call.Wire, e engine.Engine) (born int64, err error) {
	c, err := t.open(ctx, "tcp", e.Address)
	if err != nil {
		return 0, errors.Wrapf(err, "connect to %s", e.Address)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	header := http.Header{}
	w.Expect(header, e.ID)
	r, err := askReport(c.Conn, e.Address, w.IdentityPath(), header)
	switch {
	case err != nil && ctx.Err() == nil:
		return 0, errors.Mark(err, lo.Ternary(c.via == "", errTurnedAway, errTunnelEnded))
	case err != nil:
		return 0, err
	case r.status == http.StatusMisdirectedRequest:
		return 0, errReplaced
	case r.status != http.StatusOK:
		return 0, nil
	}
	if born, err = w.ParseIdentity(r.body); err != nil {
		return 0, nil // an endpoint that answers something else runs, too
	}
	return born, nil
}
