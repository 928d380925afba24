package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["released"] = released }

// backoff is how long a client waits before each further try of a stream.
var backoff = []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond}

// takeUp plays one stream: after a failure or a broken connection its client tries a few times more within the
// deadline, on a new connection to another node, and names the last event that it has and the try that brought
// the first one, as PROTOCOL.md and PAGES.md say.
func takeUp(f *fleet, tenant tenantSpec, most int, deadline time.Duration, all *calls) stream {
	var s stream
	end, first := time.Now().Add(deadline), ""
	for try := 0; ; try++ {
		q := request{node: f.nodes[rand.IntN(len(f.nodes))], key: tenant.Keys[0], tenant: tenant.Name, method: "POST", path: "/res/2f", prompt: 100, most: most, deadline: time.Until(end), body: "text", header: map[string]string{}, id: newID()}
		if len(s.pieces) > 0 {
			q.header["Last-Event-Id"] = strconv.Itoa(s.pieces[len(s.pieces)-1].number)
			q.header["Resumes"] = first
		}
		c := do(q)
		all.add(c)
		s.tries = append(s.tries, c)
		got := parsePieces(c)
		if len(got) > 0 && first == "" {
			first = q.id
		}
		s.pieces = append(s.pieces, got...)
		s.whole = c.whole && c.status == 200
		if s.whole || c.status >= 400 && c.status < 500 || try == len(backoff) || time.Until(end) < backoff[try]+200*time.Millisecond {
			return s
		}
		time.Sleep(backoff[try])
	}
}

// leaves is a planned end of an engine: it says draining, serves on for drain-ms and a little longer, and ends.
func (e *engine) leaves(longer time.Duration) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
	time.Sleep(2*time.Second + longer)
	e.crash() // it ends, with what still ran
	e.store.remove("servers", e.id)
}

// released: the engines of a service are replaced by those of another software version, and the last two of the
// older one leave as planned, one after the other. Just after the second one has said so, all machines lose power
// for two seconds. Streams that the older version began are taken up by their clients.
func released(p play) bool {
	const (
		clients = 48
		most    = 500 // 100 events, 50 ms apart: five seconds
		leave   = 5.5 // the first of the older engines says that it leaves
		gap     = 1.0 // until the second one does
		lost    = 6.8 // all machines lose power
		back    = 8.8 // the machines start
		over    = 9.0 // no further stream begins
	)
	st := newStore()
	tenants := []tenantSpec{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb"}, Prepaid: 100_000_000}}
	st.write("config", "main", configuration(7, tenants))
	zones := []string{"lozenets", "mladost"}
	var engines []*engine
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		engines = append(engines, startEngine(st, fmt.Sprintf("i-llm-%d", i+1), "llm", zones[i%2], version, 64, generate(50*time.Millisecond)))
	}
	f := newFleet(p.program, st.address(), zones, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if !f.awaitReady(ctx) {
		check(fmt.Errorf("the nodes are not ready"))
	}
	p.record.note("all %d nodes are ready; two engines run v1, two run v2", len(f.nodes))
	time.Sleep(2 * time.Second)

	var sent calls
	var mu sync.Mutex
	var streams []stream
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
			for time.Now().Before(at(over)) {
				s := takeUp(f, tenants[0], most, 12*time.Second, &sent)
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
			}
		})
	}
	for i, e := range engines[:2] {
		time.Sleep(time.Until(at(leave + gap*float64(i))))
		p.record.note("engine %s (v1) says that it leaves", e.id)
		wg.Go(func() {
			e.leaves(200 * time.Millisecond)
			p.record.note("engine %s (v1) has ended, and its entry is gone", e.id)
		})
	}
	if p.trouble {
		time.Sleep(time.Until(at(lost)))
		for _, n := range f.nodes {
			n.kill()
		}
		p.record.note("all machines have lost power")
		time.Sleep(time.Until(at(back)))
		for _, n := range f.nodes {
			n.start(false)
		}
		p.record.note("all machines start")
	}
	wg.Wait()
	mixed, whole := 0, 0
	for _, s := range streams {
		if s.whole {
			whole++
		}
		if !s.mixed() {
			continue
		}
		mixed++
		var tries []string
		for _, c := range s.tries {
			tries = append(tries, fmt.Sprintf("%s at %s (status %d, %d events)", c.id, c.node, c.status, c.events))
		}
		p.record.note("a stream holds events of %s: tries %s", strings.Join(s.versions(), ", then "), strings.Join(tries, "; "))
	}
	broken := mixed > 2
	p.record.note("%d streams, %d whole, %d with events of two versions (allowed: 2): the rule %s", len(streams), whole, mixed, map[bool]string{true: "is broken", false: "held"}[broken])
	var ran []run
	for _, e := range engines {
		ran = append(ran, e.allRuns()...)
	}
	p.record.write(p.path, sent.list(), ran)
	return broken
}
