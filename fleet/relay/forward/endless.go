package forward

import (
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/memory"
)

// An endpoint in trouble may send bytes without end. Limits on each part of an answer keep them from
// filling the node's memory, and let the call go to another endpoint if it may run again. Heads are
// limited by the transport.
const (
	maxEventBytes = 64 << 10 // of a stream until its next event is complete, comments included
	// defaultMaxAnswer is how long an answer may be that a node holds until it is complete.
	defaultMaxAnswer = 4 << 20
	// minAnswerRate, in bytes a second, is the rate below which a repeatable call's answer counts as
	// stuck. A node's share of a congested link is several times that.
	minAnswerRate = 16 << 10
	// stuckAfter is the time after which an answer, or an event that has begun, counts as stuck: sound
	// endpoints may pause for a second or so.
	stuckAfter = 1200 * time.Millisecond
	// discardTimeout bounds reading the body of a refused attempt, which only saves a connection.
	discardTimeout = 50 * time.Millisecond
)

var (
	errAnswerTooLong = errors.New("the answer is longer than a node holds")
	errEventTooLong  = errors.New("no event was complete after as many bytes as an event may have")
	errTooManyEvents = errors.New("the endpoint sends more events than the call's tokens fill")
	errOutOfOrder    = errors.New("the endpoint sent an event that does not come after the one before")
	errLeftOut       = errors.New("the endpoint that was to continue the stream left out an event")
	errStuck         = errors.New("the answer came in too slowly")
)

// provesNoEnd reports whether an answer that failed is no evidence that its endpoint has ended: this node
// abandoned it, or could not confirm that it is complete.
func provesNoEnd(err error) bool {
	return errors.IsAny(err, errAnswerTooLong, errEventTooLong, errTooManyEvents, errOutOfOrder, errLeftOut, errStuck, errUnconfirmed)
}

// maxEvents returns how many events the call's tokens fill. The tokens of more would be received and not
// charged.
func (j *job) maxEvents() int64 {
	if j.call.OutputMax <= 0 || j.service.TokensPerEvent <= 0 {
		return math.MaxInt64
	}
	return (j.call.OutputMax + j.service.TokensPerEvent - 1) / j.service.TokensPerEvent
}

// mayRunElsewhere reports whether a call that may have run has attempts left for another endpoint.
func (j *job) mayRunElsewhere() bool {
	return j.route.MayRepeat() && j.attempts < max(j.route.Attempts, 1) && !j.nearQuarantine()
}

// readAnswer reads a plain answer. It fails with errAnswerTooLong if the answer exceeds the limit or
// the memory for calls, and with errStuck if it comes in slowly and the call may run elsewhere.
func (j *job) readAnswer(resp *http.Response) ([]byte, error) {
	if !j.mayRunElsewhere() {
		return j.readLimited(resp.Body, resp.ContentLength)
	}
	w := watchRate(resp)
	defer w.stop()
	body, err := j.readLimited(w, resp.ContentLength)
	if err != nil && w.isStuck() {
		return nil, errStuck
	}
	return body, err
}

// readLimited reads an answer of a length, -1 if unknown, and reserves memory for it.
func (j *job) readLimited(r io.Reader, length int64) ([]byte, error) {
	body, reserved, err := memory.ReadAll(r, length, j.maxAnswer(), j.lease)
	j.memory += reserved
	if errors.IsAny(err, memory.ErrTooLong, memory.ErrFull) {
		return nil, errAnswerTooLong
	}
	return body, err
}

// maxAnswer returns how long an answer may be that the node holds until it is complete.
func (j *job) maxAnswer() int64 {
	if j.MaxAnswer > 0 {
		return j.MaxAnswer
	}
	return defaultMaxAnswer
}

// discard reads the body of a refused attempt if it is small, so that its connection can be reused.
func discard(resp *http.Response) {
	defer resp.Body.Close()
	if resp.ContentLength < 0 || resp.ContentLength > maxDiscarded {
		return
	}
	end := clock.StartTimeout(discardTimeout, func() { closeBody(resp) })
	defer end.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, resp.ContentLength)
}

// rateWatch closes an answer whose bytes come in too slowly.
type rateWatch struct {
	resp  *http.Response
	began time.Time
	read  atomic.Int64

	mu      sync.Mutex
	timeout *clock.Timeout
	stuck   bool
}

func watchRate(resp *http.Response) *rateWatch {
	w := &rateWatch{resp: resp, began: clock.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = clock.StartTimeout(stuckAfter, w.check)
	return w
}

// Read implements io.Reader.
func (w *rateWatch) Read(p []byte) (int, error) {
	n, err := w.resp.Body.Read(p)
	w.read.Add(int64(n))
	return n, err
}

func (w *rateWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if float64(w.read.Load()) >= minAnswerRate*clock.Since(w.began).Seconds() {
		w.timeout = clock.StartTimeout(stuckAfter, w.check)
		return
	}
	w.stuck = true
	closeBody(w.resp)
}

func (w *rateWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout.Stop()
}

func (w *rateWatch) isStuck() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stuck
}

// eventWatch closes a stream whose next event has begun and does not become complete. A nil watch does
// nothing.
type eventWatch struct {
	resp    *http.Response
	timeout *clock.Timeout // nil: no event has begun
	stuck   atomic.Bool
}

// watchEvents returns a watch of a stream that may be resumed at another endpoint, and nil of others.
func (j *job) watchEvents(resp *http.Response) *eventWatch {
	if !j.mayRunElsewhere() {
		return nil
	}
	return &eventWatch{resp: resp}
}

// observe records whether part of an event has arrived, and whether a complete one came before it.
func (w *eventWatch) observe(begun, complete bool) {
	if w == nil {
		return
	}
	if w.timeout != nil && (complete || !begun) {
		w.timeout.Stop()
		w.timeout = nil
	}
	if begun && w.timeout == nil {
		w.timeout = clock.StartTimeout(stuckAfter, func() {
			w.stuck.Store(true)
			closeBody(w.resp)
		})
	}
}

func (w *eventWatch) stop() { w.observe(false, true) }

func (w *eventWatch) isStuck() bool { return w != nil && w.stuck.Load() }
