package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// stream passes events on as they come, whole ones only. Where the stream
// breaks, it goes on at another endpoint if the route allows that; else the
// caller's connection is broken off, so that nothing half looks whole.
func (j *job) stream(ctx context.Context, t *choice.Placement, o answered) {
	j.Wire.Answer(j.w.Header(), o.resp)
	j.w.WriteHeader(o.resp.StatusCode)
	s := &relayed{job: j, lastID: j.call.LastEventID}
	for {
		s.pace = pace{placement: t, sent: o.sent, awake: j.awake}
		err := s.copy(ctx, o.resp.Body)
		drop(o.resp)
		if err == nil {
			if j.awake.teaches(o.sent) {
				t.Paused(s.pace.longest)
			}
			j.close(t, choice.Good, s.pace.took())
			j.served()
			j.used = j.charge(s.events)
			j.finish("streamed", o.resp.StatusCode)
			return
		}
		j.close(t, resultOf(ctx, choice.Bad), took{})
		j.note = at("stream", t, err).Error()
		j.logBroken(t, s.events, err)
		if s.caller == nil {
			j.cut(ctx, t, s.pace.progress(clock.Now()))
		}
		next, out, ok := j.resume(ctx, t, s)
		if !ok {
			j.used = j.charge(s.events)
			j.finish("broken-off", o.resp.StatusCode)
			panic(http.ErrAbortHandler)
		}
		t, o = next, out
	}
}

// charge is what a stream cost: the prompt, and the events that were passed on.
// Each is counted full, since how full the last one was is not said. What an
// endpoint generated and the caller never got is not the caller's to pay.
func (j *job) charge(events int64) int64 {
	if events == 0 {
		return 0
	}
	if j.service.Stride <= 0 {
		return j.reserved
	}
	return min(j.reserved, j.call.PromptMax+min(events*j.service.Stride, j.call.OutputMax))
}

// resume takes a broken stream up at another endpoint.
func (j *job) resume(ctx context.Context, broken *choice.Placement, s *relayed) (*choice.Placement, answered, bool) {
	if why := j.mayNotResume(ctx, s); why != "" {
		return j.leftBroken(why)
	}
	tried := map[engine.Life]bool{broken.Engine.Life(): true}
	for range maxUnreached {
		if j.quarantined() {
			return j.leftBroken("the request is held back")
		}
		t, ok := j.pick(tried)
		if !ok {
			return j.leftBroken("no other endpoint is usable")
		}
		j.engine, j.placed = t.Engine.ID, t
		switch o := j.send(ctx, t, s.lastID).(type) {
		case answered:
			return j.resumed(t, o)
		case neverSent:
			j.close(t, resultOf(ctx, resultOfUnsent(o)), took{})
			tried[t.Engine.Life()] = !o.connected // another connection there may do
		case rejected:
			j.close(t, resultOfRejection(o), took{})
			return j.leftBroken("another endpoint rejected it")
		case failed:
			j.close(t, resultOf(ctx, resultOfFailure(o)), took{})
			if isCut(o) {
				j.cut(ctx, t, quarantine.Nothing)
			}
			return j.leftBroken("another endpoint failed: " + o.err.Error())
		}
		if ctx.Err() != nil {
			return j.leftBroken("the call is over")
		}
	}
	return j.leftBroken("no other endpoint was reached")
}

// mayNotResume is why a broken stream may not be taken up; "" is that it may.
func (j *job) mayNotResume(ctx context.Context, s *relayed) string {
	switch {
	case !j.route.Resumable:
		return "the route does not allow it"
	case s.caller != nil:
		return "the caller has left"
	case j.wary():
		return "the request may have ended endpoints"
	default:
		return j.mayNotRepeat(ctx)
	}
}

// leftBroken notes why a stream stays broken, for the call's line.
func (j *job) leftBroken(why string) (*choice.Placement, answered, bool) {
	j.broken = why
	return nil, answered{}, false
}

// resumed is whether an answer goes on where the stream broke.
func (j *job) resumed(t *choice.Placement, o answered) (*choice.Placement, answered, bool) {
	j.told.heard = true
	if o.resp.StatusCode != http.StatusOK || !isStream(o.resp) {
		drop(o.resp)
		j.close(t, choice.Neutral, took{})
		return j.leftBroken("another endpoint answered it with no stream")
	}
	return t, o, true
}

// relayed is how far a stream has come.
type relayed struct {
	*job
	events int64
	lastID string
	caller error // the caller's connection failed
	rest   []byte
}

const streamBuffer = 8 << 10

var eventEnd = []byte("\n\n")

// copy passes on one endpoint's part of the stream; nil where it came to its end.
func (s *relayed) copy(ctx context.Context, body io.Reader) error {
	flusher := http.NewResponseController(s.w)
	buffer := make([]byte, streamBuffer)
	s.rest = s.rest[:0]
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if failure := s.pass(flusher, buffer[:n]); failure != nil {
				s.caller = failure
				return failure
			}
		}
		if err == io.EOF {
			return s.atEnd(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// pass forwards the whole events among what has come so far.
func (s *relayed) pass(flusher *http.ResponseController, data []byte) error {
	s.rest = append(s.rest, data...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil
	}
	whole := s.rest[:end+len(eventEnd)]
	if s.events == 0 {
		s.Metrics.FirstEvent(s.route.Name, clock.Since(s.start))
	}
	before, first := s.events, s.pace.last.IsZero()
	s.count(whole)
	s.pace.passed(int(s.events-before), clock.Now())
	if first && s.pace.first > 0 {
		s.tellFirst(s.pace.placement, s.pace.sent, s.pace.first)
	}
	if _, err := s.w.Write(whole); err != nil {
		return err
	}
	if err := flusher.Flush(); err != nil {
		return err
	}
	s.rest = append(s.rest[:0], s.rest[end+len(eventEnd):]...)
	return nil
}

// count counts events and keeps the last id.
func (s *relayed) count(whole []byte) {
	for event := range bytes.SplitSeq(whole, eventEnd) {
		if len(bytes.Trim(event, "\n")) == 0 {
			continue
		}
		s.events++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				s.lastID = string(bytes.TrimSpace(id))
			}
		}
	}
}

func (s *relayed) atEnd(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if len(bytes.Trim(s.rest, "\n")) > 0 {
		return io.ErrUnexpectedEOF
	}
	_, err := s.w.Write(s.rest) // an empty line more, however the bytes were cut into pieces
	return err
}
