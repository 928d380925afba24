package forward

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// relayStream passes on complete events as they arrive. If the stream breaks, it is resumed at
// another endpoint if the route allows that. Otherwise the caller's connection is aborted, so
// that a partial stream never looks complete.
func (j *job) relayStream(ctx context.Context, t *choice.Placement, o answered) {
	j.Wire.Answer(j.w.Header(), o.resp)
	j.w.WriteHeader(o.resp.StatusCode)
	s := &streamRelay{job: j}
	if j.route.Resumable { // elsewhere a stream begins anew, whatever its caller had before
		s.lastID = j.call.LastEventID
	}
	for {
		s.pace = pace{placement: t, sent: o.sent, stalls: j.stalls}
		s.watch = j.watchEvents(o.resp)
		s.part = streamPart{endpoint: t.Engine.ID, framing: framingOf(o.resp)}
		err := s.copy(ctx, o.resp.Body)
		s.noteOwed(err)
		j.streamed = append(j.streamed, s.part)
		closeBody(o.resp)
		if err == nil {
			err = s.confirmComplete(ctx, t, o)
		}
		if err == nil {
			if j.stalls.usable(o.sent) {
				t.Paused(s.pace.longest)
			}
			j.close(t, choice.Good, s.pace.timing())
			j.recordServed()
			j.recordEnded()
			j.used = j.charge(s.events)
			j.finish("streamed", o.resp.StatusCode)
			return
		}
		j.close(t, resultOf(ctx, choice.Bad), timing{})
		j.note = wrapStep("stream", t, err).Error()
		j.logBroken(t, s, err)
		if s.callerErr == nil && !provesNoEnd(err) {
			j.recordInterrupted(ctx, t, s.pace.progress(clock.Now()))
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

// noteOwed records whether a further event of the stream is known to exist, at the end of a part. One behind
// an event that was not accepted is none.
func (s *streamRelay) noteOwed(err error) {
	incomplete := s.pending
	if end := bytes.LastIndex(incomplete, eventEnd); end >= 0 {
		incomplete = incomplete[end+len(eventEnd):]
	}
	s.owed = s.owed && !s.part.brought || !provesNoEnd(err) && isPiece(incomplete)
}

// charge returns the cost of a stream: the prompt and the events that were passed on. Each event
// counts as full, since the fill of the last one is unknown. Tokens that the caller never received
// are not charged.
func (j *job) charge(events int64) int64 {
	if events == 0 {
		return 0
	}
	if j.service.TokensPerEvent <= 0 {
		return j.reserved
	}
	return min(j.reserved, j.call.PromptMax+min(events*j.service.TokensPerEvent, j.call.OutputMax))
}

// resume continues a broken stream at another endpoint, and at the next where that one fails before its
// first event, as run does.
func (j *job) resume(ctx context.Context, broken *choice.Placement, s *streamRelay) (*choice.Placement, answered, bool) {
	if why := j.whyNotResume(ctx, s); why != "" {
		return j.abandonResume(why)
	}
	tried := map[engine.Incarnation]bool{broken.Engine.Incarnation(): true}
	if s.lastID != "" && j.Origins != nil {
		j.began = &origin.Known{Version: j.streamVersion(broken)} // the caller has events of that version
	}
	unreached, dropped := 0, 0
	for unreached < maxUnreached && dropped < maxDropped {
		if j.quarantined() {
			return j.abandonResume("the request is quarantined")
		}
		t, ok := j.pick(tried)
		if !ok {
			return j.abandonResume(lo.Ternary(j.versionGone(), "no endpoint of its version is left", "no other endpoint is usable"))
		}
		tried[t.Engine.Incarnation()] = true
		j.engine, j.placed = t.Engine.ID, t
		out := j.send(ctx, t, s.lastID)
		if o, ok := out.(answered); ok && continuesStream(o) {
			j.reported.answered = true
			return t, o, true
		}
		why := j.closeResume(ctx, t, out)
		switch unsent, ok := out.(neverSent); {
		case ok && unsent.mayUseAnother():
			delete(tried, t.Engine.Incarnation())
			dropped++
		case ok:
			unreached++
		}
		end := j.whyNotResumeAgain(ctx, s, out)
		j.logAttempt(t, out, end == "")
		if end != "" {
			return j.abandonResume(why + "; " + end)
		}
	}
	return j.abandonResume("no other endpoint was reached")
}

// continuesStream reports whether an answer continues a broken stream.
func continuesStream(o answered) bool { return o.resp.StatusCode == http.StatusOK && isStream(o.resp) }

// closeResume ends an attempt to resume a stream that brought no stream, and returns why it did not.
func (j *job) closeResume(ctx context.Context, t *choice.Placement, out outcome) string {
	switch o := out.(type) {
	case answered:
		j.reported.answered = true
		closeBody(o.resp)
		j.close(t, choice.Neutral, timing{})
		return "another endpoint answered it with no stream"
	case neverSent:
		t.Unsent()
		j.close(t, resultOf(ctx, resultOfUnsent(o)), timing{})
		return "another endpoint was not reached"
	case rejected:
		j.close(t, resultOfRejection(o), timing{})
		return "another endpoint rejected it"
	case failed:
		j.reported.answered = o.answered
		j.close(t, resultOf(ctx, resultOfFailure(o)), timing{})
		if isInterrupted(o) {
			j.recordInterrupted(ctx, t, quarantine.Nothing)
		}
		return "another endpoint failed: " + o.err.Error()
	}
	return ""
}

// whyNotResumeAgain returns why a stream may not be resumed at one more endpoint after one that brought none
// of it. If it may, it returns "" and counts the retry. Not a byte was sent to an unreached one, so that none
// is counted.
func (j *job) whyNotResumeAgain(ctx context.Context, s *streamRelay, out outcome) string {
	switch o := out.(type) {
	case neverSent:
		return lo.Ternary(ctx.Err() == nil, "", "the call is over")
	case answered:
		if o.resp.StatusCode < http.StatusInternalServerError {
			return "its answer is final"
		}
	}
	return j.whyNotResume(ctx, s)
}

// whyNotResume returns why a broken stream may not be resumed. If it may, it returns "" and counts
// the retry.
func (j *job) whyNotResume(ctx context.Context, s *streamRelay) string {
	switch {
	case !j.route.Resumable:
		return "the route does not allow it"
	case s.callerErr != nil:
		return "the caller has left"
	case s.lastHasNoID:
		return "the last event has no id"
	case j.nearQuarantine():
		return "the request may have crashed endpoints"
	default:
		return j.whyNoRetry(ctx)
	}
}

// abandonResume records why a broken stream is not resumed, for the log.
func (j *job) abandonResume(why string) (*choice.Placement, answered, bool) {
	j.notResumed = why
	return nil, answered{}, false
}

// streamRelay is the progress of a stream to its caller.
type streamRelay struct {
	*job
	events      int64
	lastID      string
	owed        bool // a part was cut inside an event, which has not come since
	lastHasNoID bool // of the last event
	ids         idSteps
	callerErr   error  // from writing to the caller
	pending     []byte // start of an incomplete event
	eventless   int    // bytes passed on since the last event
	watch       *eventWatch
	part        streamPart // of the current endpoint
}

// streamPart is what one endpoint contributed to a stream, for the log.
type streamPart struct {
	endpoint string
	framing  framing
	events   int64  // passed on
	brought  bool   // a piece of the stream is among them
	first    string // id of its first event; "": no event had one
	last     string // id of its last event
}

// withEvent returns the part with one more event, which may be a piece of the stream or set up the
// connection alone.
func (p streamPart) withEvent(id string, piece bool) streamPart {
	p.brought = p.brought || piece
	if p.events++; id == "" {
		return p
	}
	p.first, p.last = cmp.Or(p.first, id), id
	return p
}

// String implements fmt.Stringer.
func (p streamPart) String() string {
	return fmt.Sprintf("%s: %d events, ids %q to %q, framed by %s", p.endpoint, p.events, p.first, p.last, p.framing)
}

const streamBuffer = 8 << 10

var eventEnd = []byte("\n\n")

// copy passes on one endpoint's part of the stream and returns nil at its regular end.
func (s *streamRelay) copy(ctx context.Context, body io.Reader) error {
	flusher := http.NewResponseController(s.w)
	buffer := make([]byte, streamBuffer)
	s.pending, s.eventless = s.pending[:0], 0
	defer s.watch.stop()
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			before := s.events
			if failure := s.pass(flusher, buffer[:n]); failure != nil {
				return failure
			}
			if s.eventless+len(s.pending) > maxEventBytes {
				return errEventTooLong
			}
			s.watch.observe(len(s.pending) > 0, s.events > before)
		}
		switch {
		case err == io.EOF:
			return s.atEnd(ctx)
		case err != nil && s.watch.isStuck():
			return errStuck
		case err != nil:
			return err
		}
	}
}

// pass writes the complete events among the data received so far to the caller.
func (s *streamRelay) pass(flusher *http.ResponseController, data []byte) error {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil
	}
	complete, why := s.acceptable(s.pending[:end+len(eventEnd)])
	if len(complete) == 0 {
		return why
	}
	if s.events == 0 {
		s.Metrics.FirstEvent(s.route.Name, clock.Since(s.start))
	}
	before, first := s.events, s.pace.last.IsZero()
	if first {
		s.answeredPart.Store(true)
	}
	brought := s.part.brought
	s.count(complete)
	if !brought && s.part.brought {
		s.recordOrigin(s.pace.placement)
	}
	if s.eventless += len(complete); s.events > before {
		s.eventless = 0
	}
	now := clock.Now()
	s.pace.observe(int(s.events-before), now)
	if first && s.pace.first > 0 {
		s.reportFirstEvent(s.pace.placement, s.pace.sent, s.pace.first)
	}
	if !s.partsSurvived && s.pace.progress(now) == quarantine.Underway {
		s.recordPartsSurvived(now)
	}
	if _, s.callerErr = s.w.Write(complete); s.callerErr == nil {
		s.callerErr = flusher.Flush()
	}
	if s.callerErr != nil {
		return s.callerErr
	}
	s.pending = append(s.pending[:0], s.pending[end+len(eventEnd):]...)
	return why
}

// acceptable returns the part of complete events that the caller may get, and why the rest may not be
// passed on; nil: all may.
func (s *streamRelay) acceptable(complete []byte) (part []byte, why error) {
	left, last := s.maxEvents()-s.events, s.lastID
	atSeam := !s.part.brought && last != "" // the next event is the first after those of another endpoint or answer
	for rest := complete; len(rest) > 0; {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		if isEvent(rest[:end]) {
			id, ok := eventID(rest[:end])
			switch {
			case left == 0:
				why = errTooManyEvents
			case ok && !follows(id, last), !ok && atSeam && hasData(rest[:end]):
				why = errOutOfOrder
			case ok && atSeam && s.ids.leavesOut(id):
				why = errLeftOut
			}
			if why != nil {
				return complete[:len(complete)-len(rest)], why
			}
			left--
			if ok {
				last, atSeam = id, false
			}
		}
		rest = rest[end:]
	}
	return complete, nil
}

// follows reports whether the id of an event is above the one before. Ids that are no numbers have no
// order; they differ.
func follows(id, last string) bool {
	this, err := strconv.ParseUint(id, 10, 64)
	before, errBefore := strconv.ParseUint(last, 10, 64)
	if err != nil || errBefore != nil {
		return id != last
	}
	return this > before
}

// isEvent reports whether a block of lines is an event. Comments alone are none.
func isEvent(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// count counts events and records the last event id.
func (s *streamRelay) count(complete []byte) {
	for event := range bytes.SplitSeq(complete, eventEnd) {
		id, ok := eventID(event)
		if ok {
			s.lastID = id
		}
		if isEvent(event) {
			s.events++
			if hasData(event) {
				s.lastHasNoID = id == ""
			}
			if isPiece(event) {
				s.ids = s.ids.with(id)
			}
			s.part = s.part.withEvent(id, isPiece(event))
		}
	}
}

// eventID returns the id of an event, if it has one.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) == "id" {
			id, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return id, ok
}

// isPiece reports whether an event, or the beginning of one, is a piece of the stream. Others set up the
// connection.
func isPiece(event []byte) bool {
	_, hasID := eventID(event)
	return hasID || hasData(event)
}

// hasData reports whether an event has anything for its reader, beside fields that set up the connection.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

func (s *streamRelay) atEnd(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if len(bytes.Trim(s.pending, "\n")) > 0 {
		return io.ErrUnexpectedEOF
	}
	_, err := s.w.Write(s.pending) // at most empty lines, depending on how the reads split the data
	return err
}
