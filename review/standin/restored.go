package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["restored"] = restored }

type tenantSpec struct {
	Name    string   `json:"name"`
	Keys    []string `json:"api-keys"`
	Prepaid int      `json:"prepaid,omitempty"`
}

// configuration is one of a small deployment: a service of model engines and a plain one.
func configuration(version int, tenants []tenantSpec) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-gen", "host": host, "path-prefix": "/gen/", "route-type": "streaming", "timeout-ms": 6000, "slo-ms": 600, "priority": 1, "service": "llm", "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "gap-slo-ms": 300},
			map[string]any{"name": "r-res", "host": host, "path-prefix": "/res/", "route-type": "streaming", "timeout-ms": 6000, "slo-ms": 600, "priority": 1, "service": "llm", "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-slo-ms": 300},
			map[string]any{"name": "r-once", "host": host, "path-prefix": "/once/", "route-type": "non_idempotent", "timeout-ms": 2000, "slo-ms": 100, "priority": 2, "service": "core", "max-attempts": 2, "public": false},
			map[string]any{"name": "r-read", "host": host, "path-prefix": "/read/", "route-type": "idempotent", "timeout-ms": 2000, "slo-ms": 100, "priority": 2, "service": "core", "max-attempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "llm", "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": false, "engine-type": map[string]any{"slots": 64, "kv-capacity": 374509, "kv-token-bytes": 163840, "link-mbps": 1100000.0, "moves": true, "backups": true, "stride": stride, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "core", "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	}
}

// restored: a tenant begins to send. Five seconds later all machines lose power, and the store goes away and
// comes back from a copy that it made just before the tenant began. What the tenant receives in all is held
// against its prepaid.
func restored(p play) bool {
	const (
		prepaid = 60_000
		prompt  = 100
		most    = 100
		perS    = 40 // requests a second, of 200 tokens each
		begin   = 0.5
		lost    = 5.0 // all machines lose power
		away    = 5.5 // the store goes away
		back    = 6.5 // the store is back from its copy, and the machines start
		over    = 30.0
	)
	st := newStore()
	tenants := []tenantSpec{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb"}, Prepaid: prepaid}}
	st.write("config", "main", configuration(7, tenants))
	zones := []string{"lozenets", "mladost"}
	var engines []*engine
	for i := range 8 {
		engines = append(engines, startEngine(st, fmt.Sprintf("i-llm-%d", i+1), "llm", zones[i%2], "v1", 64, generate(10*time.Millisecond)))
	}
	f := newFleet(p.program, st.address(), zones, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if !f.awaitReady(ctx) {
		check(fmt.Errorf("the nodes are not ready"))
	}
	p.record.note("all %d nodes are ready; the tenant has %d tokens prepaid", len(f.nodes), prepaid)
	time.Sleep(5 * time.Second)

	var sent calls
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	c := st.copyNow()
	p.record.note("the store is copied")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; time.Now().Before(at(over)); i++ {
			time.Sleep(time.Until(at(begin + float64(i)/perS)))
			sent.send(request{node: f.nodes[i%len(f.nodes)], key: tenants[0].Keys[0], tenant: tenants[0].Name, method: "POST", path: "/gen/2f", prompt: prompt, most: most, deadline: 6 * time.Second, body: "text"})
		}
	}()
	sum := func() int {
		total := 0
		for _, c := range sent.list() {
			total += c.received()
		}
		return total
	}
	time.Sleep(time.Until(at(lost)))
	if p.trouble {
		for _, n := range f.nodes {
			n.kill()
		}
		p.record.note("all machines have lost power; received until now: %d tokens", sum())
		time.Sleep(time.Until(at(away)))
		st.goAway()
		p.record.note("the store is away")
		time.Sleep(time.Until(at(back)))
		st.restore(c)
		p.record.note("the store is back from its copy, which was %.1f s old when it went away; all machines start", at(away).Sub(c.made).Seconds())
		for _, n := range f.nodes {
			n.start(false)
		}
	}
	<-done
	sent.wg.Wait()
	total := sum()
	broken := total > prepaid
	p.record.note("received in all: %d tokens of %d prepaid: the rule %s", total, prepaid, map[bool]string{true: "is broken", false: "held"}[broken])
	var ran []run
	for _, e := range engines {
		ran = append(ran, e.allRuns()...)
	}
	p.record.write(p.path, sent.list(), ran)
	return broken
}
