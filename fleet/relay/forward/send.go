package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/link"
	"github.com/lynxshed/lynxshed/fleet/response"
)

// errResting ends an attempt whose endpoint asked to rest before a byte was sent.
var errResting = errors.New("the endpoint asked to rest before the call was sent")

// errIdleExpired ends an attempt on a connection that was idle for longer than its endpoint keeps it.
var errIdleExpired = errors.New("the connection was idle for longer than the endpoint keeps it")

// errIdleUnidentified ends an attempt of a resumable stream on a kept connection whose endpoint did not tell
// which incarnation runs: on a new one it may.
var errIdleUnidentified = errors.New("the endpoint did not tell which incarnation runs when the connection was opened")

// errSentTwice ends an attempt that the transport was about to send a second time.
var errSentTwice = errors.New("the transport would have sent the call twice")

// onceBody is a body that the transport can't rewind, so that it never resends a call by itself
// when a kept-alive connection turns out to be dead.
type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

// send makes one attempt and waits for the head of its answer, with which the attempt's span ends.
func (j *job) send(ctx context.Context, t *choice.Placement, lastEventID string) outcome {
	j.notices = nil
	ctx, end := j.startAttemptSpan(ctx, t)
	out := j.exchange(ctx, t, lastEventID)
	end(out)
	return out
}

func (j *job) exchange(ctx context.Context, t *choice.Placement, lastEventID string) outcome {
	stopTimer := func() {}
	var used *connUse
	var kept error // why the call was kept from being sent, or from being sent again
	callContext := ctx
	j.via = ""
	ctx, cancel := context.WithCancelCause(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent := used != nil && !used.block()
			stopTimer()
			used = startUse(info.Conn)
			j.via = used.via()
			if sent {
				used.block()
				kept = errSentTwice
				cancel(kept)
				return
			}
			if why := j.whyNotSend(t, used, info); why != nil && used.block() {
				kept = why
				cancel(kept)
				return
			}
			j.reportSent(t)
			classify(info.Conn, j.class())
			stopTimer = j.startHeadTimer(t, used, cancel)
		},
		PutIdleConn: func(err error) {
			if err == nil {
				used.release()
			}
		},
	})
	ctx = withEndpoint(j.measureConnect(ctx, t.Engine.Zone), t.Engine)
	started := clock.Now()
	resp, err := j.Transport.RoundTrip(j.request(ctx, t, lastEventID))
	stopTimer()
	if err != nil && kept != nil {
		err = kept // the transport may report that the connection was closed
	}
	if err != nil && !errors.Is(err, errSentTwice) && (used == nil || used.block()) {
		if used == nil {
			j.recordUnconnected(callContext, t, err, started)
		}
		cancel(nil)
		return neverSent{err: wrapStep("connect", t, err), connected: used != nil}
	}
	j.attempts++
	if errors.Is(err, response.ErrFraming) {
		cancel(nil)
		return failed{answered: true, err: wrapStep("answer", t, err)}
	}
	if err != nil {
		err = j.dropSilent(ctx, t, err)
		j.recordBroken(callContext, t, used, err, started)
		cancel(nil)
		return failed{err: wrapStep("send", t, err)}
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return j.readHead(t, used, resp, started)
}

// whyNotSend returns why nothing of the call may be sent on a connection from the transport, or nil
// if it may. If the endpoint has closed the connection, the other idle ones are dropped: the transport
// hands out the most recently used, so that they have been idle for longer.
func (j *job) whyNotSend(t *choice.Placement, used *connUse, info httptrace.GotConnInfo) error {
	if t.Resting(clock.Now()) {
		return errResting // it asked for that while this call waited for its connection
	}
	if info.WasIdle && used.idleExpired(info.IdleTime) {
		j.Transport.pool.dropIdle(t.Engine.Address)
		return errIdleExpired
	}
	if info.WasIdle && j.route.Resumable && used.isUnidentified() {
		j.Transport.pool.dropIdle(t.Engine.Address)
		return errIdleUnidentified
	}
	return j.whyOtherIncarnation(t, used)
}

// measureConnect records the time that connecting takes as the round trip to the zone.
func (j *job) measureConnect(ctx context.Context, zone string) context.Context {
	var began time.Time // used only by the goroutine that connects
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { began = clock.Now() },
		ConnectDone: func(_, _ string, err error) {
			if now := clock.Now(); err == nil && j.stalls.usable(began) {
				j.Places.RecordRoundTrip(zone, now.Sub(began), now)
			}
		},
	})
}

// class returns the traffic class of the call's request to an endpoint.
func (j *job) class() link.Class {
	if j.call.Cost() > 0 {
		return link.Prompts
	}
	return link.Answers
}

// dropSilent closes the idle connections to the endpoint if the attempt's connection fell silent,
// and adds their number to the error.
func (j *job) dropSilent(ctx context.Context, t *choice.Placement, err error) error {
	silent := errors.Is(context.Cause(ctx), errSilent)
	if silent {
		err = errSilent
	}
	var network net.Error
	if !silent && (ctx.Err() != nil || !errors.As(err, &network) || !network.Timeout()) {
		return err
	}
	return errors.Wrapf(err, "%d idle connections dropped", j.Transport.pool.dropIdle(t.Engine.Address))
}

// cancelBody cancels the attempt's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// readHead reads the head of an answer, records what it shows of the endpoint and returns the outcome.
func (j *job) readHead(t *choice.Placement, used *connUse, resp *http.Response, started time.Time) outcome {
	v := j.Wire.ParseAnswer(resp)
	used.setIdleTimeout(v.IdleTimeout)
	now := clock.Now()
	j.recordReached(t, used, now)
	if v.HasLoad {
		t.Report(v.Load, now)
	}
	if err := j.whyNoAnswer(resp, v); err != nil {
		closeBody(resp)
		return failed{answered: true, err: wrapStep("answer", t, err)}
	}
	if !v.Moved {
		j.notices = v.Notices
		for _, n := range v.Notices {
			t.Notice(n, now)
			j.passRest(t, n)
		}
	}
	if !v.Moved && j.stalls.usable(started) { // not from another endpoint, nor from before a suspension or a stall
		j.limit = v.Limit
		t.Limit(v.Limit, resp.StatusCode < http.StatusMultipleChoices, started, now)
	}
	if !v.NotExecuted && !v.Moved {
		t.Accepted(started)
	}
	if v.NotExecuted || v.Moved {
		discard(resp)
		return rejected{status: resp.StatusCode, moved: v.Moved}
	}
	if !isStream(resp) && resp.StatusCode < http.StatusInternalServerError && j.stalls.usable(started) {
		t.First(now.Sub(started), now)
	}
	return answered{resp: resp, sent: started, born: used.born()}
}

// whyNoAnswer returns why the head of an answer begins none to the call, or nil.
func (j *job) whyNoAnswer(resp *http.Response, v call.AnswerHead) error {
	if err := response.Check(resp); err != nil {
		return err
	}
	switch {
	case v.CallID != j.call.ID:
		return errors.Newf("the answer belongs to call %q, status %d", v.CallID, resp.StatusCode)
	case resp.StatusCode/100 == 2 && !v.Sealed:
		return errors.Newf("the answer with status %d lacks the endpoint's seal", resp.StatusCode)
	case resp.StatusCode/100 != 2:
		return nil
	}
	asked := j.r.Header
	if isStream(resp) {
		asked = nil // the events of an encoded stream can't be read
	}
	return response.CheckEncoding(resp.Header, asked)
}

// request builds the request of an attempt, with the caller's method, target and body.
func (j *job) request(ctx context.Context, t *choice.Placement, lastEventID string) *http.Request {
	header := j.Wire.Prepare(j.r.Header, j.call, call.AttemptHead{
		Tenant: j.tenant.Name, EndpointID: t.Engine.ID, Remaining: clock.Until(j.end), Priority: j.priority(), LastEventID: lastEventID, FetchFrom: t.Source,
	})
	req := &http.Request{
		Method: j.r.Method, URL: target(t.Engine.Address, j.r.RequestURI), Host: j.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: onceBody{bytes.NewReader(j.body)}, ContentLength: int64(len(j.body)),
	}
	return req.WithContext(ctx)
}

// target returns the URL with the caller's path and query unchanged.
func target(address, uri string) *url.URL {
	path, query, hasQuery := strings.Cut(uri, "?")
	return &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}

func (j *job) priority() int {
	if j.tenant.HasPriority {
		return j.tenant.Priority
	}
	return j.route.Priority
}

// wrapStep adds the step and the endpoint to an error.
func wrapStep(step string, t *choice.Placement, err error) error {
	return errors.Wrapf(err, "step %s, endpoint %s at %s", step, t.Engine.ID, t.Engine.Address)
}

// maxDiscarded is how many bytes of a refused attempt's body are read so that its connection can be reused.
const maxDiscarded = 4 << 10

// closeBody abandons an answer and its connection.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }
