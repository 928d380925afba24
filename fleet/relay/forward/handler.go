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
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/ingress"
	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Handler is the HTTP handler that relays callers' calls to endpoints.
type Handler struct {
	Options
	leaving    atomic.Bool
	stops      atomic.Pointer[time.Time] // when the node stops; nil: new calls are taken
	open       atomic.Int64
	inProgress callSet
	waiting    waiters
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{Options: o} }

// Leave makes the handler close each connection after its answer, so that callers reconnect elsewhere.
func (h *Handler) Leave() { h.leaving.Store(true) }

// RefuseNew makes the handler refuse new calls, which could not be served before the node stops at a time.
// One that has arrived but was not sent yet is sent only if it ends by then, whatever its endpoint does.
func (h *Handler) RefuseNew(stops time.Time) { h.stops.Store(&stops) }

// outlastsStop reports whether the call may still be in progress when the node stops.
func (j *job) outlastsStop() bool {
	stops := j.stops.Load()
	return stops != nil && j.end.After(*stops)
}

// Open returns the number of calls in progress.
func (h *Handler) Open() int64 { return h.open.Load() }

// job is one call in progress.
type job struct {
	*Handler
	w          http.ResponseWriter
	r          *http.Request
	call       call.Call
	policy     *policy.Policy
	policyFrom store.Provenance // as of the start
	route      policy.Route
	service    policy.Service
	tenant     policy.Tenant
	regions    allowedRegions
	body       []byte
	lease      *memory.Lease
	memory     int64 // bytes of the lease that the call holds
	start      time.Time
	stalls     stallCheck // since the start
	end        time.Time  // the caller's deadline or the route's timeout, whichever is earlier

	reserved          int64 // tokens
	used              int64 // tokens of the reservation that the caller received
	attempts          int   // number of endpoints that the call was sent to
	engine            string
	via               string          // node that the last attempt's connection leads through; "": direct
	note              string          // what decided the outcome, for the log
	notResumed        string          // why a broken stream was not resumed, for the log
	conn              *connUse        // the last attempt's use of its connection; nil: none
	began             *origin.Known   // the version that began the stream that the call resumes; nil: it may run at any
	origin            origin.Evidence // what is known of the stream that the caller resumes
	placed            *choice.Placement
	reported          reported                 // what was reported of the last attempt
	limit             call.Limit               // in the last answer
	notices           []call.Notice            // in the last answer
	cachedFingerprint quarantine.Fingerprint   // of the request; zero until computed
	cachedParts       []quarantine.Fingerprint // of the parts of its prompt; nil until computed
	partsSurvived     bool                     // the parts were recorded as survived by an endpoint
	answeredPart      atomic.Bool              // the caller has got part of an answer
	probes            []probe                  // what this call probes
	pace              pace                     // of the last stream
	framing           framing                  // of the last answer; "": none
	streamed          []streamPart             // of the stream, by endpoint, for the log
}

// maxDeadline bounds every call, including those without a deadline on routes without a timeout.
const maxDeadline = 60 * time.Second

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	r, end := h.startSpan(r)
	defer end()
	h.awaitBacklog(r.Context())
	j := &job{Handler: h, w: w, r: r, start: clock.Now(), stalls: newStallCheck(h.Stalled), policy: h.Policy.Load()}
	if h.PolicySource != nil {
		j.policyFrom = h.PolicySource()
	}
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	lease, endLease := ingress.LeaseOf(r.Context(), h.Memory)
	j.lease = lease
	defer endLease()
	defer j.releaseMemory()
	refused, ok := j.admit()
	if j.Intake.ShouldClose(j.tenant.Name) {
		w.Header().Set("Connection", "close")
	}
	if !ok {
		j.refuse(refused)
		return
	}
	defer j.settle()
	j.run()
}

// awaitBacklog delays a call that arrived during a stall of the process until the updates that
// arrived with it have been read from the sockets: the call is decided by them.
func (h *Handler) awaitBacklog(ctx context.Context) {
	if h.Backlog == nil {
		return
	}
	if wait := h.Backlog(); wait > 0 {
		clock.Pause(ctx, wait)
	}
}

// admit reads the call and decides whether it may run. Otherwise it returns the refusal.
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
	if j.stops.Load() != nil {
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
	j.regions = allowedRegionsOf(route, j.tenant)
	if j.noAllowedRegion() {
		j.note = fmt.Sprintf("the route allows regions %v, the customer %v", route.AllowedRegions, j.tenant.AllowedRegions)
		return refuseNoRegion, false
	}
	if !j.Gate.Admit(j.tenant.Name, xxhash.Sum64String(j.call.ID)) && j.Nodes() > 1 {
		return refuseOverloaded, false
	}
	j.setEnd()
	if refused, ok := j.readBody(); !ok {
		return refused, false
	}
	j.service, _ = j.policy.Service(j.route.Pick(xxhash.Sum64String(j.call.StreamID())))
	if j.refusedOnArrival() {
		return refuseQuarantined, false
	}
	if refused, ok := j.findOrigin(); !ok {
		return refused, false
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
	j.lease.SetOwner(tenant.Name)
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
	if !j.lease.Take(callBytes) {
		return refuseMemory, false
	}
	j.memory = callBytes
	began := clock.Now()
	body, reserved, err := ingress.ReadBody(j.w, j.r, limit, clock.Until(j.end), j.lease)
	j.memory += reserved
	if err != nil {
		return j.refuseBody(err), false
	}
	if j.r.ContentLength != 0 {
		j.Gate.RecordBody(clock.Since(began))
	}
	j.body = body
	return refusal{}, true
}

// refuseBody returns the refusal of a call whose body was not read to its end.
func (j *job) refuseBody(err error) refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ingress.ErrNoMemory):
		return refuseMemory
	case errors.Is(err, ingress.ErrBodyLate):
		return refuseBodyLate
	case errors.As(err, &tooLarge):
		return refuseTooLarge
	}
	j.note = err.Error()
	return refuseHead
}

// callBytes is the memory that a call holds besides its body: the buffers of the caller's and
// the endpoint's connections (4 kB each way, 16 kB for writes to the endpoint) and the stacks
// of their goroutines.
const callBytes = 48 << 10

func (j *job) releaseMemory() {
	j.lease.Return(j.memory)
	j.memory = 0
}

// reserve reserves the maximum cost of the call from the customer's allowance.
func (j *job) reserve() (refusal, bool) {
	if !j.tenant.HasPrepaid || j.call.Cost() == 0 {
		return refusal{}, true
	}
	if f, resting := j.allResting(); resting {
		return f, false // no endpoint would take the call: don't wait for tokens
	}
	answer := j.Allowance.Reserve(j.tenant.Name, j.call.Cost(), j.start)
	if answer == account.Insufficient && j.TokenSource.Acquire(j.r.Context(), j.tenant.Name, j.call.Cost()) {
		j.note = "transferred"
		answer = j.Allowance.RetryReserve(j.tenant.Name, j.call.Cost())
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

// noteBudget notes the state of the allowance that led to a refusal, for the log.
func (j *job) noteBudget() {
	h := j.Allowance.State(j.tenant.Name)
	j.note = fmt.Sprintf("free %d, reserved %d, pool %d, remaining %d of %d at accounts revision %d; demand %.0f tokens/s here, %.0f on other nodes",
		h.Free, h.Reserved, h.Pool, h.Left, h.Prepaid, h.Revision.Number(), h.Rate, h.Others)
}

// settle returns the unused part of the reservation.
func (j *job) settle() {
	if j.reserved > 0 {
		j.Allowance.Settle(j.tenant.Name, j.reserved, j.used)
		j.reserved = 0
	}
}

// refuse answers the call with a refusal by the relay itself.
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

// finish logs how the call ended, in one line per call.
func (j *job) finish(reason string, status int) {
	took := clock.Since(j.start)
	j.Metrics.Finished(j.route.Name, reason, took)
	j.annotateSpan(reason, status)
	fields := log.Fields{
		"request": j.call.ID, "route": j.route.Name, "tenant": j.tenant.Name, "reason": reason, "status": status,
		"ms": took.Milliseconds(), "attempts": j.attempts, "endpoint": j.engine, "reserved": j.call.Cost(), "used": j.used,
	}
	j.describePolicy(fields)
	j.describeResumed(fields)
	j.describePlacement(fields)
	j.describeLimit(fields)
	j.describeNotices(fields)
	if j.note != "" {
		fields["note"] = j.note
	}
	if j.via != "" {
		fields["via"] = j.via
	}
	if j.conn.isUnidentified() {
		fields["incarnation"] = "not told"
	}
	if j.notResumed != "" {
		fields["notResumed"] = j.notResumed
	}
	j.describeBody(fields)
	j.Log.WithFields(fields).Info("call ended")
}

// describeBody adds to the log fields how the answer was framed, and which events of a stream each
// endpoint contributed.
func (j *job) describeBody(fields log.Fields) {
	if j.framing != "" {
		fields["framing"] = string(j.framing)
	}
	if len(j.streamed) > 0 {
		fields["streamParts"] = lo.Map(j.streamed, func(p streamPart, _ int) string { return p.String() })
	}
}

// describePolicy adds to the log fields by which policy the call was decided, which node it was
// received from, and how long before the call the store had confirmed it as the newest.
func (j *job) describePolicy(fields log.Fields) {
	if j.policy == nil {
		return
	}
	fields["policy"] = j.policy.Version
	if j.PolicySource == nil {
		return
	}
	fields["policyAgeMs"] = j.start.Sub(j.policyFrom.Confirmed).Milliseconds()
	if j.policyFrom.Source != "" {
		fields["policyFrom"] = j.policyFrom.Source
	}
}

// describeLimit adds the rate limit in the endpoint's answer to the log fields.
func (j *job) describeLimit(fields log.Fields) {
	switch j.limit.Kind {
	case call.ValidLimit:
		fields["limit"] = j.limit.PerSecond
	case call.InvalidLimit:
		fields["limit"] = "unreadable"
	case call.NoLimit:
	}
}

// describeNotices adds the notices in the endpoint's answer to the log fields.
func (j *job) describeNotices(fields log.Fields) {
	for _, n := range j.notices {
		switch n := n.(type) {
		case call.Leaving:
			fields["leaving"] = true
		case call.Rest:
			fields["restMs"] = n.For.Milliseconds()
		case call.Fragile:
			fields["maxRejections"] = n.MaxRejections
		}
	}
}

// describeResumed adds to the log fields which stream the caller resumes, and after which event.
func (j *job) describeResumed(fields log.Fields) {
	if j.call.LastEventID != "" {
		fields["lastEvent"] = j.call.LastEventID
	}
	if j.call.Resumes != "" {
		fields["resumes"] = j.call.Resumes
	}
	if j.began != nil {
		fields["began"] = j.began.Version
	}
	if j.origin.Finding != nil {
		fields["origin"], fields["originBasis"], fields["nodeAgeMs"] = j.origin.String(), string(j.origin.Basis), j.origin.NodeAge.Milliseconds()
	}
	if j.origin.From != "" {
		fields["originFrom"] = j.origin.From
	}
	if j.origin.ListAge > 0 {
		fields["listAgeMs"] = j.origin.ListAge.Milliseconds()
	}
	if others := j.origin.Others; others.Finding != nil {
		fields["others"], fields["othersAllZones"], fields["confirmed"] = origin.Name(others.Finding), others.AllZones, j.origin.Confirmed
		fields["othersOutdated"] = others.Outdated
	}
}

// describeVersion adds the software version of an endpoint to the log fields.
func describeVersion(fields log.Fields, t *choice.Placement) {
	if t != nil && t.Engine.StreamVersion() != "" {
		fields["version"] = t.Engine.StreamVersion()
	}
}

// describePlacement adds to the log fields why the last endpoint was chosen, and its measured times.
func (j *job) describePlacement(fields log.Fields) {
	t := j.placed
	describeVersion(fields, t)
	if t == nil || !t.Tokens() {
		return
	}
	fields["expectedFirstMs"], fields["expectedPauseMs"] = int64(t.FirstMs), int64(t.PauseMs)
	distance := j.Places.To(t.Engine.Zone, clock.Now())
	fields["away"], fields["roundTripMs"], fields["roundTripAgeMs"] = distance.Class.String(), distance.RoundTrip.Milliseconds(), distance.Age.Milliseconds()
	fields["uncached"], fields["fetched"], fields["cost"] = t.Uncached, t.Fetched, int64(t.Cost)
	if t.Source != "" {
		fields["fetchFrom"] = t.Source
	}
	if j.pace.first > 0 {
		fields["firstMs"], fields["pauseMs"] = j.pace.first.Milliseconds(), j.pace.longest.Milliseconds()
	}
}
