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
)

// errResting ends an attempt whose endpoint asked for rest before a byte was sent.
var errResting = errors.New("the endpoint asked for rest before the call was sent")

// errForgotten ends an attempt on a connection that its endpoint no longer keeps.
var errForgotten = errors.New("the endpoint keeps no connection that rested for so long")

// errTwice ends an attempt that the transport was about to send a second time.
var errTwice = errors.New("the transport would have sent the call twice")

// onceBody is a body that the transport can't rewind, so that it never sends a
// call again by itself on a kept connection that died.
type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

// send makes one attempt and waits for the head of its answer; the span of the
// attempt ends with the head.
func (j *job) send(ctx context.Context, t *choice.Placement, lastEventID string) outcome {
	j.notices = nil
	ctx, end := j.attempt(ctx, t)
	out := j.exchange(ctx, t, lastEventID)
	end(out)
	return out
}

func (j *job) exchange(ctx context.Context, t *choice.Placement, lastEventID string) outcome {
	heard := func() {}
	var used *hold
	twice := false
	ctx, cancel := context.WithCancelCause(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if used != nil && !used.bar() {
				twice = true
				cancel(errTwice)
			}
			heard()
			used = use(info.Conn)
			if why := j.unfit(t, used, info); why != nil && used.bar() {
				cancel(why)
				return
			}
			j.tellSent(t)
			classify(info.Conn, j.class())
			heard = whileSilent(j.patience(t), cancel)
		},
		PutIdleConn: func(err error) {
			if err == nil {
				used.release()
			}
		},
	})
	ctx = j.measured(ctx, t.Engine.Zone)
	started := clock.Now()
	resp, err := j.Transport.RoundTrip(j.request(ctx, t, lastEventID))
	heard()
	if err != nil && !twice && (used == nil || used.bar()) {
		cancel(nil)
		return neverSent{err: at("connect", t, err), connected: used != nil}
	}
	j.attempts++
	if err != nil {
		err = j.dropSilent(ctx, t, err)
		cancel(nil)
		return failed{err: at("send", t, err)}
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return j.judgeHead(t, used, resp, started)
}

// unfit is why not a byte of the call is sent on a connection that the transport handed out; nil where it
// is. Those that rest beside one that its endpoint has forgotten have rested for longer: the transport
// hands out the latest.
func (j *job) unfit(t *choice.Placement, used *hold, info httptrace.GotConnInfo) error {
	if t.Resting(clock.Now()) {
		return errResting // it said so while this call waited for its connection
	}
	if info.WasIdle && used.forgotten(info.IdleTime) {
		j.Transport.pool.dropIdle(t.Engine.Address)
		return errForgotten
	}
	return nil
}

// measured takes how long connecting to a zone takes as the round trip there.
func (j *job) measured(ctx context.Context, zone string) context.Context {
	var began time.Time // of the goroutine that connects only
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { began = clock.Now() },
		ConnectDone: func(_, _ string, err error) {
			if now := clock.Now(); err == nil && j.awake.teaches(began) {
				j.Places.Measured(zone, now.Sub(began), now)
			}
		},
	})
}

// class is what the call sends to an endpoint.
func (j *job) class() link.Class {
	if j.call.Cost() > 0 {
		return link.Prompts
	}
	return link.Answers
}

// dropSilent drops the connections that rest beside one that fell silent, and says so
// in the error.
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

// cancelBody ends the attempt's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

func (j *job) judgeHead(t *choice.Placement, used *hold, resp *http.Response, started time.Time) outcome {
	v := j.Wire.Judge(resp)
	used.keepsFor(v.Keeps)
	now := clock.Now()
	if v.HasLoad {
		t.Report(v.Load, now)
	}
	if v.CallID != j.call.ID {
		drop(resp)
		return failed{heard: true, err: at("answer", t, errors.Newf("the answer is to call %q, status %d", v.CallID, resp.StatusCode))}
	}
	if !v.Moved {
		j.notices = v.Notices
		for _, n := range v.Notices {
			t.Notice(n, now)
		}
	}
	if !v.Moved && j.awake.teaches(started) { // not another endpoint's word, nor one of before a suspension or a standstill
		j.limit = v.Limit
		t.Limit(v.Limit, resp.StatusCode < http.StatusMultipleChoices, started, now)
	}
	if !v.NotExecuted && !v.Moved {
		t.Took(started)
	}
	if v.NotExecuted || v.Moved {
		finishSmall(resp)
		return rejected{status: resp.StatusCode, moved: v.Moved}
	}
	if !isStream(resp) && resp.StatusCode < http.StatusInternalServerError && j.awake.teaches(started) {
		t.First(now.Sub(started), now)
	}
	return answered{resp: resp, sent: started}
}

// request builds the attempt: method, target and body are the caller's.
func (j *job) request(ctx context.Context, t *choice.Placement, lastEventID string) *http.Request {
	header := j.Wire.Prepare(j.r.Header, j.call, call.Send{
		Tenant: j.tenant.Name, Instance: t.Engine.ID, Left: clock.Until(j.end), Priority: j.priority(), LastEventID: lastEventID, FetchFrom: t.Source,
	})
	req := &http.Request{
		Method: j.r.Method, URL: target(t.Engine.Address, j.r.RequestURI), Host: j.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: onceBody{bytes.NewReader(j.body)}, ContentLength: int64(len(j.body)),
	}
	return req.WithContext(ctx)
}

// target keeps the caller's path and query to the letter.
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

// at adds the step and the peer to an error.
func at(step string, t *choice.Placement, err error) error {
	return errors.Wrapf(err, "step %s, endpoint %s at %s", step, t.Engine.ID, t.Engine.Address)
}

// smallBody is what is read of a refused attempt's body to keep its connection.
const smallBody = 4 << 10

func finishSmall(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, smallBody)
	_ = resp.Body.Close()
}

// drop gives an answer up, and its connection with it.
func drop(resp *http.Response) { _ = resp.Body.Close() }
