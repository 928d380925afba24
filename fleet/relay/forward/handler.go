package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// Handler takes callers' calls.
type Handler struct {
	Options
	leaving  atomic.Bool
	refusing atomic.Bool
	open     atomic.Int64
	underWay underWay
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{Options: o} }

// Leave makes the handler ask callers to use another connection next.
func (h *Handler) Leave() { h.leaving.Store(true) }

// RefuseNew makes the handler refuse calls that are new: what they need could
// not be served before the stop.
func (h *Handler) RefuseNew() { h.refusing.Store(true) }

// Open is how many calls are in progress.
func (h *Handler) Open() int64 { return h.open.Load() }

// job is one call on its way.
type job struct {
	*Handler
	w       http.ResponseWriter
	r       *http.Request
	call    call.Call
	policy  *policy.Policy
	route   policy.Route
	service policy.Service
	tenant  policy.Tenant
	homes   homes
	body    []byte
	memory  int64 // set aside for the call, bytes
	start   time.Time
	awake   awake     // since the start
	end     time.Time // the caller's deadline or the route's timeout, the earlier

	reserved int64
	used     int64 // of it, what the caller received
	attempts int   // endpoints that the call was sent to
	engine   string
	note     string // what decided, for the log
	broken   string // why a stream that broke off was not taken up, for the log
	placed   *choice.Placement
	told     told             // of the last attempt
	limit    call.Limit       // that the last answer named
	notices  []call.Notice    // of the last answer
	printed  quarantine.Print // of its request; zero: not worked out yet
	probe    int              // round of a request that is held back, which this call probes; 0 is none
	pace     pace             // of the last stream
}

// maxDeadline bounds calls that state no deadline on routes without a timeout.
const maxDeadline = 60 * time.Second

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	r, end := h.traced(r)
	defer end()
	h.awaitRead(r.Context())
	j := &job{Handler: h, w: w, r: r, start: clock.Now(), awake: newAwake(h.Stood), policy: h.Policy.Load()}
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	defer j.giveMemory()
	refused, ok := j.admit()
	if j.Intake.Send(j.tenant.Name) {
		w.Header().Set("Connection", "close")
	}
	if !ok {
		j.refuse(refused)
		return
	}
	defer j.settle()
	j.run()
}

// awaitRead holds a call that is found when the process goes on after it stood still: what
// it would be decided by may lie beside it in the sockets, unread.
func (h *Handler) awaitRead(ctx context.Context) {
	if h.Unread == nil {
		return
	}
	if wait := h.Unread(); wait > 0 {
		clock.Pause(ctx, wait)
	}
}

// admit reads the call and decides whether it may run at all.
func (j *job) admit() (refusal, bool) {
	c, err := j.Wire.Parse(j.r)
	j.call = c
	if err != nil {
		j.note = err.Error()
		return refuseHead, false
	}
	if j.policy == nil {
		return refuseNoPolicy, false
	}
	if j.refusing.Load() {
		return refuseLeaving, false
	}
	route, ok := j.policy.Match(j.r.Host, j.r.URL.Path)
	if !ok {
		return refuseNoRoute, false
	}
	j.route = route
	if refused, ok := j.authenticate(); !ok {
		return refused, false
	}
	j.homes = homesOf(route, j.tenant)
	if j.nowhere() {
		j.note = fmt.Sprintf("its route allows %v, its customer %v", route.Homes, j.tenant.Homes)
		return refuseNoHome, false
	}
	if !j.Gate.Keep(j.tenant.Name, xxhash.Sum64String(j.call.ID)) && j.Nodes() > 1 {
		return refuseOverloaded, false
	}
	j.setEnd()
	if refused, ok := j.readBody(); !ok {
		return refused, false
	}
	if j.refusedAtOnce() {
		return refuseQuarantined, false
	}
	return j.reserve()
}

func (j *job) authenticate() (refusal, bool) {
	if j.route.Public || !j.policy.Keyed {
		return refusal{}, true
	}
	tenant, ok := j.policy.TenantOf(j.call.Key)
	if !ok {
		return refuseKey, false
	}
	j.tenant = tenant
	return refusal{}, true
}

func (j *job) setEnd() {
	wait := maxDeadline
	if j.call.Deadline > 0 {
		wait = min(wait, j.call.Deadline)
	}
	if j.route.Timeout > 0 {
		wait = min(wait, j.route.Timeout)
	}
	j.end = j.start.Add(wait)
}

func (j *job) readBody() (refusal, bool) {
	limit := j.policy.Limits.BodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if j.r.ContentLength > limit {
		return refuseTooLarge, false
	}
	if !j.takeMemory(limit) {
		return refuseMemory, false
	}
	if j.r.ContentLength == 0 {
		return refusal{}, true
	}
	began := clock.Now()
	body, err := readAll(ingress.LimitBody(j.w, j.r, limit), j.r.ContentLength)
	j.Gate.Body(clock.Since(began))
	if err != nil {
		if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
			return refuseTooLarge, false
		}
		j.note = err.Error()
		return refuseHead, false
	}
	j.body = body
	return refusal{}, true
}

const (
	// callBytes is what a call holds beside its body: buffers of the caller's and the
	// endpoint's connections (4 kB each way, 16 kB of writes to the endpoint) and the
	// stacks of their goroutines.
	callBytes = 48 << 10
	// chunkedBytes is set aside for a body of no stated length.
	chunkedBytes = 64 << 10
)

// takeMemory sets aside what the call will hold, before its body is read.
func (j *job) takeMemory(limit int64) bool {
	bytes := callBytes + j.r.ContentLength
	if j.r.ContentLength < 0 {
		bytes = callBytes + min(chunkedBytes, limit)
	}
	if !j.Memory.Take(bytes) {
		return false
	}
	j.memory = bytes
	return true
}

func (j *job) giveMemory() {
	if j.memory > 0 {
		j.Memory.Give(j.memory)
		j.memory = 0
	}
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// reserve sets the most that the call can cost aside.
func (j *job) reserve() (refusal, bool) {
	j.service, _ = j.policy.Service(j.route.Pick(xxhash.Sum64String(j.call.ID)))
	if !j.tenant.HasPrepaid || j.call.Cost() == 0 {
		return refusal{}, true
	}
	if f, resting := j.resting(); resting {
		return f, false // what can't be sent is not held while tokens are found for it
	}
	answer := j.Allowance.Reserve(j.tenant.Name, j.call.Cost(), j.start)
	if answer == account.Insufficient && j.TokenSource.Acquire(j.r.Context(), j.tenant.Name, j.call.Cost()) {
		j.note = "transferred"
		answer = j.Allowance.ReserveAgain(j.tenant.Name, j.call.Cost())
	}
	switch answer {
	case account.Exhausted:
		j.noteBudget()
		return refuseBudget, false
	case account.Insufficient:
		j.noteBudget()
		return refuseInsufficient, false
	case account.Reserved:
	}
	j.reserved = j.call.Cost()
	return refusal{}, true
}

// noteBudget keeps what decided a refusal, for the log.
func (j *job) noteBudget() {
	h := j.Allowance.State(j.tenant.Name)
	j.note = fmt.Sprintf("free %d, reserved %d, pool %d and left %d of %d at accounts revision %d; asked for %.0f a second here, %.0f elsewhere",
		h.Free, h.Reserved, h.Pool, h.Left, h.Prepaid, h.Revision.Number(), h.Rate, h.Others)
}

// settle gives back what the call did not use.
func (j *job) settle() {
	if j.reserved > 0 {
		j.Allowance.Settle(j.tenant.Name, j.reserved, j.used)
		j.reserved = 0
	}
}

// refuse ends the call with an answer of the relay's own, at once.
func (j *job) refuse(f refusal) {
	header := j.w.Header()
	j.Wire.Refuse(header, j.call)
	if f.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 2, 64))
	}
	body := `{"reason":"` + f.reason + `"}`
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(f.status)
	_, _ = io.WriteString(j.w, body)
	j.finish(f.reason, f.status)
}

// finish logs how the call ended: one line a call.
func (j *job) finish(reason string, status int) {
	took := clock.Since(j.start)
	j.Metrics.Finished(j.route.Name, reason, took)
	j.describe(reason, status)
	fields := log.Fields{
		"request": j.call.ID, "route": j.route.Name, "tenant": j.tenant.Name, "reason": reason, "status": status,
		"ms": took.Milliseconds(), "attempts": j.attempts, "endpoint": j.engine, "reserved": j.call.Cost(), "used": j.used,
	}
	if j.policy != nil {
		fields["policy"] = j.policy.Version
	}
	j.describePlacement(fields)
	j.describeLimit(fields)
	j.describeNotices(fields)
	if j.note != "" {
		fields["note"] = j.note
	}
	if j.broken != "" {
		fields["notResumed"] = j.broken
	}
	j.Log.WithFields(fields).Info("call ended")
}

// describeLimit tells what the endpoint said of the calls that it takes.
func (j *job) describeLimit(fields log.Fields) {
	switch j.limit.Said {
	case call.Named:
		fields["limit"] = j.limit.PerSecond
	case call.Unreadable:
		fields["limit"] = "unreadable"
	case call.NoLimit:
	}
}

// describeNotices tells what the endpoint said about the calls that it wants.
func (j *job) describeNotices(fields log.Fields) {
	for _, n := range j.notices {
		switch n := n.(type) {
		case call.Leaving:
			fields["leaving"] = true
		case call.Rest:
			fields["restMs"] = n.For.Milliseconds()
		}
	}
}

// describePlacement tells why the last endpoint was chosen, and what came of it.
func (j *job) describePlacement(fields log.Fields) {
	t := j.placed
	if t == nil || !t.Tokens() {
		return
	}
	fields["expectedFirstMs"], fields["expectedPauseMs"] = int64(t.FirstMs), int64(t.PauseMs)
	away := j.Places.To(t.Engine.Zone, clock.Now())
	fields["away"], fields["roundTripMs"], fields["roundTripAgeMs"] = away.Class.String(), away.RoundTrip.Milliseconds(), away.Age.Milliseconds()
	fields["uncached"], fields["fetched"], fields["cost"] = t.Uncached, t.Fetched, int64(t.Cost)
	if t.Source != "" {
		fields["fetchFrom"] = t.Source
	}
	if j.pace.first > 0 {
		fields["firstMs"], fields["pauseMs"] = j.pace.first.Milliseconds(), j.pace.longest.Milliseconds()
	}
}
