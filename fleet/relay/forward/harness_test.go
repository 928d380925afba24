package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/memory"
	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/dial"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/forward"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
	"github.com/lynxshed/lynxshed/fleet/relay/policy"
	"github.com/lynxshed/lynxshed/fleet/relay/retry"
)

// plainWire is a minimal wire format.
type plainWire struct{}

func (plainWire) Parse(r *http.Request) (call.Call, error) {
	c := call.Call{ID: r.Header.Get("Call"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last"), Resumes: r.Header.Get("Resumes")}
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline"))
	c.Deadline = time.Duration(deadline) * time.Millisecond
	c.PromptMax, _ = strconv.ParseInt(r.Header.Get("Prompt"), 10, 64)
	c.OutputMax, _ = strconv.ParseInt(r.Header.Get("Output"), 10, 64)
	for id := range strings.FieldsSeq(r.Header.Get("Parts")) {
		c.Parts = append(c.Parts, call.Part{ID: id})
	}
	return c, nil
}

func (w plainWire) Prepare(from http.Header, c call.Call, s call.AttemptHead) http.Header {
	to := http.Header{}
	to.Set("Call", c.ID)
	to.Set("Tenant", s.Tenant)
	w.Expect(to, s.EndpointID)
	to.Set("Left", strconv.FormatInt(s.Remaining.Milliseconds(), 10))
	if s.LastEventID != "" {
		to.Set("Last", s.LastEventID)
	}
	return to
}

func (plainWire) Expect(to http.Header, endpointID string) { to.Set("Instance", endpointID) }

func (plainWire) ParseAnswer(resp *http.Response) call.AnswerHead {
	v := call.AnswerHead{CallID: resp.Header.Get("Call"), NotExecuted: resp.Header.Get("Not-Run") != "", Sealed: resp.Header.Get("Unsealed") == "", Moved: resp.StatusCode == http.StatusMisdirectedRequest}
	if rest, err := time.ParseDuration(resp.Header.Get("Rest")); err == nil {
		v.Notices = []call.Notice{call.Rest{For: rest}}
	}
	return v
}

func (plainWire) Answer(to http.Header, resp *http.Response) {
	to.Set("Content-Type", resp.Header.Get("Content-Type"))
	to.Set("Seal", resp.Header.Get("Seal"))
	if coding := resp.Header.Get("Content-Encoding"); coding != "" {
		to.Set("Content-Encoding", coding)
	}
}

func (plainWire) IdentityPath() string { return "/identity" }

func (plainWire) ParseIdentity(body []byte) (int64, error) {
	return strconv.ParseInt(string(body), 10, 64)
}

func (plainWire) Refuse(to http.Header, c call.Call) { to.Set("Call", c.ID) }

// noMetrics counts nothing.
type noMetrics struct{}

func (noMetrics) Finished(string, string, time.Duration) {}
func (noMetrics) FirstEvent(string, time.Duration)       {}

// noSource never obtains any tokens.
type noSource struct{}

func (noSource) Acquire(context.Context, string, int64) bool { return false }

// gate takes every call except those of one customer.
type gate struct {
	redirects string
	bodies    atomic.Int32 // received
}

func (g *gate) Admit(customer string, _ uint64) bool { return customer != g.redirects }
func (g *gate) RecordBody(time.Duration)             { g.bodies.Add(1) }

// intake closes the connections of one customer.
type intake struct{ reconnects string }

func (i *intake) ShouldClose(customer string) bool { return customer != "" && customer == i.reconnects }

// run is one call as an endpoint received it.
type run struct {
	engine string
	method string
	uri    string
	body   string
	header http.Header
}

// fleet is a handler in front of scripted endpoints.
type fleet struct {
	*httptest.Server
	handler     *forward.Handler
	allowance   *account.Allowance
	policy      policy.Policy
	gate        gate
	intake      intake
	nodes       int // in the fleet; 0 is one
	places      distance.Places
	inForce     atomic.Pointer[policy.Policy]
	trials      atomic.Pointer[forward.Trials]
	samples     samples
	servers     []*httptest.Server // of the endpoints, in order
	stalled     atomic.Bool        // the process has stalled
	memory      *memory.Budget     // nil: no bound
	network     *pipeNetwork       // nil: the VM's own
	engines     []engine.Engine
	directory   atomic.Pointer[engine.Directory]
	picker      *choice.Picker
	notices     *notice.Tracker
	connections *forward.Transport

	mu   sync.Mutex
	runs []run
	left atomic.Int32 // endpoints that noticed that the caller left
}

// script is the handler of a scripted endpoint.
type script func(f *fleet, w http.ResponseWriter, r *http.Request)

// testPolicy has routes for calls that run once, repeatable calls and streams.
func testPolicy() policy.Policy {
	split := func(s string) []policy.Split { return []policy.Split{{Service: s, Weight: 1}} }
	return policy.Policy{
		Version: 7, Keyed: true,
		Routes: []policy.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: policy.Once, Attempts: 2, Splits: split("s")},
			{Name: "repeat", Host: "h", Prefix: "/repeat/", Kind: policy.Repeatable, Attempts: 2, Splits: split("s")},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: policy.Streaming, Attempts: 1, Splits: split("s"), PrefixPart: true},
			{Name: "resume", Host: "h", Prefix: "/resume/", Kind: policy.Streaming, Resumable: true, Attempts: 2, Splits: split("s")},
			{Name: "single", Host: "h", Prefix: "/single/", Kind: policy.Once, Attempts: 1, Splits: split("s")},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: policy.Once, Attempts: 1, Timeout: 150 * time.Millisecond, Splits: split("s")},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: policy.Once, Public: true, Attempts: 1, Splits: split("s")},
			{Name: "empty", Host: "h", Prefix: "/empty/", Kind: policy.Once, Attempts: 1, Splits: split("nowhere")},
		},
		Services: []policy.Service{{Name: "s", MaxConnections: 100, TokensPerEvent: 3}},
		Tenants:  []policy.Tenant{{Name: "t", Keys: []string{"k"}, Prepaid: 1000, HasPrepaid: true}},
		Limits:   policy.Limits{BodyBytes: 1 << 10},
	}
}

// testRegions maps the zones of endpoints to their regions.
var testRegions = map[string]string{"z1": "r1", "z2": "r2"}

// newFleet starts a handler in front of one endpoint for each script.
func newFleet(t *testing.T, held int64, scripts ...script) *fleet {
	t.Helper()
	return newFleetOn(t, nil, held, scripts...)
}

// newFleetOn starts a handler and its endpoints on a network.
func newFleetOn(t *testing.T, network *pipeNetwork, held int64, scripts ...script) *fleet {
	t.Helper()
	f := &fleet{policy: testPolicy(), network: network, allowance: account.NewAllowance("n", "n/1", account.DefaultTuning())}
	f.allowance.Budget(map[string]int64{"t": 1000})
	f.allowance.Apply(account.Ledger{Accounts: []account.Account{{Tenant: "t", Rows: []account.Row{{Node: "n", Incarnation: "n/1", Drawn: held}}}}}, 1)
	for i, s := range scripts {
		f.engines = append(f.engines, f.startEngine(t, "e"+strconv.Itoa(i), s))
	}
	f.start(t, f.engines)
	return f
}

func (f *fleet) startEngine(t *testing.T, id string, s script) engine.Engine {
	server := f.network.server(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.runs = append(f.runs, run{engine: id, method: r.Method, uri: r.RequestURI, body: string(body), header: r.Header.Clone()})
		f.mu.Unlock()
		s(f, w, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	f.servers = append(f.servers, server)
	return engine.Engine{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 8}
}

func (f *fleet) start(t *testing.T, engines []engine.Engine) {
	if f.memory == nil {
		f.memory = memory.NewBudget(0)
	}
	quiet := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	one := func() int { return 1 }
	f.inForce.Store(f.policy.Indexed())
	f.directory.Store(engine.NewDirectory(1, engines))
	f.notices = notice.NewTracker("n", notice.Rule{}, func(notice.Change) {})
	f.notices.Engines(engines, time.Now())
	f.picker, f.connections = choice.NewPicker("z", choice.DefaultTuning()).WithNotices(f.notices), f.transport(t)
	f.places = distance.From("z", testRegions, distance.DefaultCosts())
	f.handler = forward.New(forward.Options{
		Wire: plainWire{}, Policy: &f.inForce, Engines: &f.directory, Trials: &f.trials, Samples: &f.samples, Allowance: f.allowance, TokenSource: noSource{},
		Picker:        f.picker,
		Stalled:       func(time.Time) bool { return f.stalled.Load() },
		RetrySchedule: limit.NewRetrySchedule(),
		Retries:       retry.NewBudget(retry.Rule{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, one),
		Gate:          &f.gate, Intake: &f.intake, Memory: f.memory, Nodes: func() int { return max(f.nodes, 1) }, Places: f.places, Transport: f.connections, Log: quiet, Metrics: noMetrics{},
	})
	f.Server = f.network.server(t, f.handler)
	t.Cleanup(f.Server.Close)
}

// connectTimeout is longer than the relay's: the tests' process stands still at times.
const connectTimeout = 20 * time.Second

// transport returns the relay's transport on the test's network.
func (f *fleet) transport(t *testing.T) *forward.Transport {
	transport := forward.NewTransportWith(dial.New(connectTimeout))
	if f.network != nil {
		transport.DialContext = f.network.dialSlowly
		t.Cleanup(transport.CloseIdleConnections)
	}
	return transport
}

func (f *fleet) received() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

// request builds a caller's call.
func (f *fleet) request(t *testing.T, method, path, body string, header ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set("Call", "c1")
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

// answer is what a caller received; err is set if it was incomplete.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fleet) do(t *testing.T, req *http.Request) answer {
	t.Helper()
	resp, err := f.Client().Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// ranFor returns how long a function takes, without time in which the whole process stands still.
func ranFor(f func()) time.Duration {
	const shortStandstill = 100 * time.Millisecond // counts: goroutines wait for a core as long
	done, ran := make(chan struct{}), make(chan time.Duration)
	go func() {
		ticks := time.NewTicker(time.Millisecond)
		defer ticks.Stop()
		var total time.Duration
		for last := time.Now(); ; {
			open := true
			select {
			case <-ticks.C:
			case <-done:
				open = false
			}
			now := time.Now()
			total, last = total+min(now.Sub(last), shortStandstill), now
			if !open {
				ran <- total
				return
			}
		}
	}()
	f()
	close(done)
	return <-ran
}

func good(body string) script {
	return func(_ *fleet, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		w.Header().Set("Seal", "seal")
		_, _ = io.WriteString(w, body)
	}
}

func status(code int, notRun bool) script {
	return func(_ *fleet, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		if notRun {
			w.Header().Set("Not-Run", "1")
		}
		w.WriteHeader(code)
	}
}

func reset(_ *fleet, w http.ResponseWriter, _ *http.Request) {
	connection, _, _ := w.(http.Hijacker).Hijack()
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

func foreign(_ *fleet, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Call", "another")
	_, _ = io.WriteString(w, "not yours")
}

func truncated(_ *fleet, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Call", r.Header.Get("Call"))
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
}

// hang waits until the caller has left.
func hang(f *fleet, _ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
	f.left.Add(1)
}

// events streams events from..to-1 and then ends regularly or breaks off.
func events(from, to int, whole bool) script {
	return func(_ *fleet, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i < to; i++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: x\n\n")
			w.(http.Flusher).Flush()
		}
		if !whole {
			_, _ = io.WriteString(w, "id: ")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// eventsAfterLast streams the events up to to-1 that follow the last one that the caller has.
func eventsAfterLast(to int) script {
	return func(f *fleet, w http.ResponseWriter, r *http.Request) {
		from := 0
		if last, err := strconv.Atoi(r.Header.Get("Last")); err == nil {
			from = last + 1
		}
		events(from, to, true)(f, w, r)
	}
}

// eventsThenHang streams and then waits for the caller to leave.
func eventsThenHang(n int) script {
	return func(f *fleet, w http.ResponseWriter, r *http.Request) {
		events(0, n, true)(f, w, r)
		hang(f, w, r)
	}
}
