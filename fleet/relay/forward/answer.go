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

// whole passes an answer on once all of it is here, so that it is never half.
func (j *job) whole(ctx context.Context, t *choice.Placement, o answered) (*refusal, bool) {
	defer drop(o.resp)
	body, err := io.ReadAll(o.resp.Body)
	if err != nil {
		j.close(t, resultOf(ctx, choice.Bad), took{})
		j.note = at("body", t, err).Error()
		j.cut(ctx, t, quarantine.Begun)
		if j.mayRunAgain(ctx) {
			return nil, true
		}
		return j.afterFailure(ctx), false
	}
	j.close(t, resultOfStatus(o.resp.StatusCode), j.took(o.sent))
	if o.resp.StatusCode < http.StatusBadRequest {
		j.used = j.reserved
		j.served()
	}
	j.Wire.Answer(j.w.Header(), o.resp)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(o.resp.StatusCode)
	_, _ = j.w.Write(body)
	j.finish("answered", o.resp.StatusCode)
	return nil, false
}

// took is how long a plain answer took since the attempt began, where that says something.
func (j *job) took(sent time.Time) took {
	if !j.awake.still() {
		return took{}
	}
	return took{whole: clock.Since(sent), sent: sent}
}

func resultOfStatus(status int) choice.Result {
	if status >= http.StatusInternalServerError {
		return choice.Bad
	}
	return choice.Good
}
