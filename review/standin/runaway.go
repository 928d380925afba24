package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["runaway"] = runaway }

// withoutEnd answers as generate does, and sends events on after the last one that the request's most allows,
// until its caller closes.
func withoutEnd(pause time.Duration) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.begin(w, r) {
			return
		}
		defer e.end()
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(200)
		flush := http.NewResponseController(w)
		for i := 1; ; i++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s %d\n\n", i, r.Header.Get("Lynxshed-Attempt-Id"), e.version, e.id, i); err != nil {
				return
			}
			if flush.Flush() != nil {
				return
			}
		}
	}
}

// runaway: one engine of four is in trouble and sends events without end. What a tenant receives in all is held
// against its prepaid.
func runaway(p play) bool {
	const (
		prepaid = 60_000
		prompt  = 100
		most    = 100
		perS    = 20
		pause   = 10 * time.Millisecond
		over    = 30 * time.Second
	)
	st := newStore()
	tenants := []tenantSpec{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb"}, Prepaid: prepaid}}
	st.write("config", "main", configuration(7, tenants))
	zones := []string{"lozenets", "mladost"}
	var engines []*engine
	for i := range 4 {
		handle := generate(pause)
		if i == 0 && p.trouble {
			handle = withoutEnd(pause)
		}
		engines = append(engines, startEngine(st, fmt.Sprintf("i-llm-%d", i+1), "llm", zones[i%2], "v1", 64, handle))
	}
	f := newFleet(p.program, st.address(), zones, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if !f.awaitReady(ctx) {
		check(fmt.Errorf("the nodes are not ready"))
	}
	p.record.note("all %d nodes are ready; the tenant has %d tokens prepaid", len(f.nodes), prepaid)
	if p.trouble {
		p.record.note("engine %s sends events without end", engines[0].id)
	}
	time.Sleep(2 * time.Second)
	var sent calls
	began := time.Now()
	for i := 0; time.Since(began) < over; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / perS)))
		sent.send(request{node: f.nodes[i%len(f.nodes)], key: tenants[0].Keys[0], tenant: tenants[0].Name, method: "POST", path: "/gen/2f", prompt: prompt, most: most, deadline: 6 * time.Second, body: "text"})
	}
	sent.wg.Wait()
	total, beyond, longest := 0, 0, 0
	for _, c := range sent.list() {
		total += c.received()
		longest = max(longest, c.events)
		if c.events*stride > c.most {
			beyond++
		}
	}
	broken := total > prepaid
	p.record.note("%d answers went on beyond the request's most of %d tokens, the longest one to %d", beyond, most, longest*stride)
	p.record.note("received in all: %d tokens of %d prepaid: the rule %s", total, prepaid, map[bool]string{true: "is broken", false: "held"}[broken])
	var ran []run
	for _, e := range engines {
		ran = append(ran, e.allRuns()...)
	}
	p.record.write(p.path, sent.list(), ran)
	return broken
}
