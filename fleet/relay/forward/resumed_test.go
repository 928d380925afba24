package forward_test

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/apex/log"
	entries "github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
	"github.com/lynxshed/lynxshed/fleet/relay/suspicion"
)

// A stream resumed on a connection that this node closed itself was never sent there: it continues
// on another connection, and no failure of the endpoint is reported.
func TestResumeOnClosedConnectionUsesAnother(t *testing.T) {
	f := newFleet(t, 1000, events(0, 3, false), events(3, 6, true))
	tracker := suspicion.NewTracker("n", "z", suspicion.DefaultRule(), func(suspicion.Avoided) {})
	tracker.Engines(f.engines)
	f.handler.Picker = choice.NewPicker("z", choice.DefaultTuning()).WithSuspicions(tracker)
	connects := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if connects++; connects == 2 {
			_ = info.Conn.Close()
		}
	}}
	for range 20 { // until the endpoint that breaks off is chosen first
		connects = 0
		r := f.request(t, "POST", "/resume/", "")
		w := f.serve(r.WithContext(httptrace.WithClientTrace(context.Background(), trace)))
		if connects > 1 {
			assert.Contains(t, w.Body.String(), "id: 5\n")
			assert.Equal(t, 3, connects, "another connection")
			for _, report := range tracker.Reports(false, clock.Now()) {
				assert.NotEqual(t, "e1", report.Endpoint)
			}
			return
		}
	}
	require.Fail(t, "no stream broke off")
}

// The end of an endpoint under a resumed stream counts towards the quarantine of the request as
// under any other call.
func TestResumedStreamMayEndAnEndpoint(t *testing.T) {
	ends := func(f *fleet, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			reset(f, w, r)
			return
		}
		events(0, 3, false)(f, w, r)
	}
	f := newFleet(t, 1000, ends, ends)
	_, recorder := f.withQuarantine(3)
	assert.Error(t, f.do(t, f.request(t, "POST", "/resume/", "")).err)
	assert.Equal(t, quarantine.Begun, (<-recorder.under).Progress)
	select {
	case s := <-recorder.under:
		assert.Equal(t, quarantine.Nothing, s.Progress)
	case <-time.After(time.Second):
		assert.Fail(t, "the second end was not recorded")
	}
}

// The log line of a call must contain the reason why its broken stream was not resumed.
func TestLogShowsWhyStreamWasNotResumed(t *testing.T) {
	breaks := events(0, 3, false)
	fails := func(f *fleet, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			w.Header().Set("Call", r.Header.Get("Call"))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		breaks(f, w, r)
	}
	cases := []struct {
		name, path string
		scripts    []script
		want       string
	}{
		{"the route", "/stream/", []script{breaks, breaks}, "the route does not allow it"},
		{"one endpoint", "/resume/", []script{breaks}, "no other endpoint is usable"},
		{"two that break off", "/resume/", []script{breaks, breaks}, "the attempts are used up"},
		{"the second one fails", "/resume/", []script{fails, fails}, "another endpoint answered it with no stream"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1000, c.scripts...)
			logged := entries.New()
			f.handler.Log = &log.Logger{Handler: logged, Level: log.InfoLevel}
			assert.Error(t, f.do(t, f.request(t, "POST", c.path, "")).err)
			f.Close()
			last := logged.Entries[len(logged.Entries)-1]
			assert.Equal(t, "call ended", last.Message)
			assert.Equal(t, c.want, last.Fields["notResumed"])
		})
	}
}
