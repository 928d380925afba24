package forward

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

const eventStream = "text/event-stream"

func isStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == eventStream
}

// passComplete passes an answer on once all of it has arrived, so that a caller never gets part of one.
func (j *job) passComplete(ctx context.Context, t *choice.Placement, o answered) (*refusal, bool) {
	defer closeBody(o.resp)
	if o.resp.ContentLength > j.maxAnswer() && o.resp.StatusCode < http.StatusBadRequest {
		j.passLong(ctx, t, o)
		return nil, false
	}
	body, err := j.readAnswer(o.resp)
	if err == nil {
		err = j.confirmComplete(ctx, t, o)
	}
	if err != nil {
		j.close(t, resultOf(ctx, choice.Bad), timing{})
		j.note = wrapStep("body", t, err).Error()
		if !provesNoEnd(err) {
			j.recordInterrupted(ctx, t, quarantine.Begun)
		}
		if j.mayRunAgain(ctx) {
			return nil, true
		}
		return j.afterFailure(ctx), false
	}
	j.close(t, resultOfStatus(o.resp.StatusCode), j.timing(o.sent))
	if o.resp.StatusCode < http.StatusBadRequest {
		j.used = j.reserved
		j.recordServed()
	}
	j.Wire.Answer(j.w.Header(), o.resp)
	if length := bodyLength(o.resp, body); length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.w.WriteHeader(o.resp.StatusCode)
	_, _ = j.w.Write(body)
	j.finish("answered", o.resp.StatusCode)
	return nil, false
}

// bodyLength returns the length that an answer's head tells; -1: none. One to HEAD tells that of GET's.
func bodyLength(resp *http.Response, body []byte) int64 {
	if resp.Request.Method == http.MethodHead {
		return resp.ContentLength
	}
	return int64(len(body))
}

// passLong passes on an answer that is too long to be held, as it arrives. If it breaks, the caller's
// connection is aborted.
func (j *job) passLong(ctx context.Context, t *choice.Placement, o answered) {
	j.Wire.Answer(j.w.Header(), o.resp)
	j.w.Header().Set("Content-Length", strconv.FormatInt(o.resp.ContentLength, 10))
	j.w.WriteHeader(o.resp.StatusCode)
	j.used = j.reserved
	if _, err := io.Copy(j.w, o.resp.Body); err != nil {
		j.close(t, resultOf(ctx, choice.Bad), timing{})
		j.note = wrapStep("body", t, err).Error()
		j.finish("broken-off", o.resp.StatusCode)
		panic(http.ErrAbortHandler)
	}
	j.close(t, resultOfStatus(o.resp.StatusCode), timing{})
	j.recordServed()
	j.finish("answered", o.resp.StatusCode)
}

// timing returns how long a plain answer took since the attempt began, or zero if the VM was suspended.
func (j *job) timing(sent time.Time) timing {
	if !j.stalls.noSuspension() {
		return timing{}
	}
	return timing{whole: clock.Since(sent), sent: sent}
}

func resultOfStatus(status int) choice.Result {
	if status >= http.StatusInternalServerError {
		return choice.Bad
	}
	return choice.Good
}
