package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["garbled"] = garbled }

// garbles answers as work does, but that while it is told to, a share of its answers comes with a wrong byte in
// the head: the name of the signature's header.
func garbles(d time.Duration, share *atomic.Int64, spoiled *atomic.Int64) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !e.begin(w, r) {
			return
		}
		defer e.end()
		time.Sleep(d)
		if rand.Int64N(1000) < share.Load() {
			spoiled.Add(1)
			w.Header().Set("Lynxshed-Response-Sea1", w.Header().Get("Lynxshed-Response-Seal"))
			w.Header().Del("Lynxshed-Response-Seal")
		}
		body := "answer to " + r.Header.Get("Lynxshed-Attempt-Id")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(200)
		_, _ = io.WriteString(w, body)
	}
}

// garbled: two engines of four hand out wrong bytes in one of twenty answers. A client that gets a success without
// the engine's signature has lost its request: it counts for nothing, and isn't sent again.
func garbled(p play) bool {
	const (
		perS   = 100
		starts = 3.0
		ends   = 8.5
		over   = 11.0
	)
	st := newStore()
	tenants := []tenantSpec{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb"}, Prepaid: 1_000_000}}
	st.write("config", "main", configuration(7, tenants))
	zones := []string{"lozenets", "mladost"}
	var engines []*engine
	var share, none, spoiled atomic.Int64
	for i := range 4 {
		of := &none
		if i < 2 {
			of = &share
		}
		engines = append(engines, startEngine(st, fmt.Sprintf("i-core-%d", i+1), "core", zones[i%2], "v1", 6, garbles(15*time.Millisecond, of, &spoiled)))
	}
	f := newFleet(p.program, st.address(), zones, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if !f.awaitReady(ctx) {
		check(fmt.Errorf("the nodes are not ready"))
	}
	p.record.note("all %d nodes are ready", len(f.nodes))
	time.Sleep(2 * time.Second)
	var sent calls
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	if p.trouble {
		time.AfterFunc(time.Until(at(starts)), func() {
			share.Store(50)
			p.record.note("%s and %s spoil one of twenty answers", engines[0].id, engines[1].id)
		})
		time.AfterFunc(time.Until(at(ends)), func() {
			share.Store(0)
			p.record.note("they spoil no more")
		})
	}
	for i := 0; time.Now().Before(at(over)); i++ {
		time.Sleep(time.Until(at(float64(i) / perS)))
		q := request{node: f.nodes[i%len(f.nodes)], key: tenants[0].Keys[0], tenant: tenants[0].Name, method: "GET", path: "/read/2f", deadline: 600 * time.Millisecond}
		if i/len(f.nodes)%2 == 0 {
			q.method, q.path, q.body = "POST", "/once/2f", "text"
		}
		sent.send(q)
	}
	sent.wg.Wait()
	unsigned := map[string]int{}
	for _, c := range sent.list() {
		if c.status >= 200 && c.status < 300 && !c.sealed {
			unsigned[strings.Split(c.path, "/")[1]]++
		}
	}
	total := unsigned["read"] + unsigned["once"]
	broken := total > 0
	p.record.note("%d requests; engines spoiled %d answers; clients got %d successes without a signature, %d of them to requests that may be sent again: the rule %s", len(sent.list()), spoiled.Load(), total, unsigned["read"], map[bool]string{true: "is broken", false: "held"}[broken])
	var ran []run
	for _, e := range engines {
		ran = append(ran, e.allRuns()...)
	}
	p.record.write(p.path, sent.list(), ran)
	return broken
}
