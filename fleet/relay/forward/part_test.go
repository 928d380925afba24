package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/quarantine"
)

// Guards against parts that are not suspected with their requests, and against a last part, which belongs to one request, that is.
func TestSharedPartsAreSuspectedWithTheirRequest(t *testing.T) {
	f := newFleet(t, 1000, reset)
	_, recorder := f.withQuarantine(9)
	f.do(t, f.request(t, "POST", "/single/", "x", "Parts", "a b own"))
	var got []string
	for range 3 {
		s := <-recorder.under
		got = append(got, s.Part)
		assert.Equal(t, "t", s.Customer)
	}
	assert.Equal(t, []string{"", "a", "b"}, got)
}

// Guards against a quarantined part that reaches endpoints with another request, and against sound requests that are refused for it.
func TestAQuarantinedPartReachesNoEndpoint(t *testing.T) {
	f := newFleet(t, 1000, good("x"))
	tracker, _ := f.withQuarantine(3)
	bad := quarantine.FingerprintOfPart("t", "s", "bad")
	_, learned := tracker.Learn(quarantine.HeldReport{Fingerprint: bad, Part: "bad", Round: 1, ForMs: 60_000, Customer: "t"}, time.Now())
	require.True(t, learned)
	tests := []struct {
		name, key, parts string
		refused          bool
	}{
		{"with the part", "k", "a bad own", true},
		{"the part is the first one", "k", "bad a own", true},
		{"it is the last one", "k", "a bad", false},
		{"the same caller and first part", "k", "a b own", false},
		{"no parts", "k", "", false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			ran := len(f.received())
			got := f.do(t, f.request(t, "POST", "/single/", c.name, "Key", c.key, "Parts", c.parts))
			if c.refused {
				assert.Equal(t, http.StatusBadGateway, got.status)
				assert.Empty(t, got.header.Get("Retry-After"))
				assert.Len(t, f.received(), ran)
				return
			}
			assert.Equal(t, http.StatusOK, got.status)
		})
	}
}

// Guards against a shared part that stays suspect while its long streams go on.
func TestAStreamThatGoesOnClearsItsParts(t *testing.T) {
	ticking := func(f *fleet, w http.ResponseWriter, r *http.Request) {
		for i := range 8 {
			events(i, i+1, true)(f, w, r)
			time.Sleep(100 * time.Millisecond)
		}
		hang(f, w, r)
	}
	f := newFleet(t, 1000, reset)
	tracker, _ := f.withQuarantine(2)
	part := quarantine.FingerprintOfPart("t", "s", "a")
	f.do(t, f.request(t, "POST", "/stream/", "x", "Parts", "a own"))
	require.Eventually(t, func() bool { return tracker.ForbidsRetry(part, time.Now()) }, time.Second, time.Millisecond)
	f.engines = []engine.Engine{f.startEngine(t, "sound", ticking)}
	f.directory.Store(engine.NewDirectory(2, f.engines))
	go f.do(t, f.request(t, "POST", "/stream/", "y", "Parts", "a own2", "Call", "c2", "Deadline", "3000"))
	assert.Eventually(t, func() bool { return !tracker.ForbidsRetry(part, time.Now()) }, 2*time.Second, 10*time.Millisecond)
}

// Guards against calls that wait at an endpoint with a part that is known to crash it.
func TestCallsThatWaitWithAQuarantinedPartAreEnded(t *testing.T) {
	tests := []struct {
		name, path, parts string
		script            script
		ended             bool
	}{
		{"with the part", "/single/", "a bad own", hang, true},
		{"without it", "/single/", "a b own", hang, false},
		{"its answer has begun", "/stream/", "a bad own", eventsThenHang(1), false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1000, c.script)
			f.withQuarantine(3)
			answers := make(chan answer, 1)
			go func() { answers <- f.do(t, f.request(t, "POST", c.path, "x", "Parts", c.parts, "Deadline", "700")) }()
			require.Eventually(t, func() bool { return len(f.received()) == 1 }, time.Second, time.Millisecond)
			time.Sleep(100 * time.Millisecond) // the first event, if any, has passed
			ended := f.handler.EndQuarantined(quarantine.FingerprintOfPart("t", "s", "bad"))
			if !c.ended {
				assert.Zero(t, ended)
				<-answers
				return
			}
			assert.Equal(t, 1, ended)
			got := <-answers
			assert.Equal(t, http.StatusBadGateway, got.status)
			assert.Equal(t, `{"reason":"request-quarantined"}`, got.body)
			assert.Eventually(t, func() bool { return f.left.Load() == 1 }, time.Second, time.Millisecond, "the endpoint sees the caller leave")
		})
	}
}
