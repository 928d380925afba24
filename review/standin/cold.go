package main

import (
	"context"
	"fmt"
	"sort"
	"time"
)

func init() { cases["cold"] = cold }

// The bounds of cold engines (shifted/LATER.md, and its site file).
const (
	coldPerS      = 7.7
	coldOverrun   = 1.5
	coldTolerance = 5
	coldStart     = 3 * time.Second
	// coldFalls is how many requests in a second make a cold engine fall over: well above what it bears, and
	// twice what the rule allows.
	coldFalls = 2 * (coldPerS*coldOverrun + coldTolerance)
)

// cold: an engine crashes and is back under its id and at its address a second later, cold, while the store is
// down. A cold engine that gets well above what it bears falls over.
func cold(p play) bool {
	const (
		perS    = 200
		down    = 3.0 // the store goes away
		crash   = 4.0 // the engine crashes
		restart = 5.0 // and is back
		back    = 9.0 // the store is back
		over    = 14.0
	)
	st := newStore()
	tenants := []tenantSpec{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb"}, Prepaid: 100_000_000}}
	config := configuration(7, tenants)
	llm := config["services"].([]any)[0].(map[string]any)
	llm["cold-start-s"], llm["cold-per-s"] = coldStart.Seconds(), coldPerS
	st.write("config", "main", config)
	zones := []string{"lozenets", "mladost"}
	var engines []*engine
	for i := range 4 {
		engines = append(engines, startEngine(st, fmt.Sprintf("i-llm-%d", i+1), "llm", zones[i%2], "v1", 64, generate(10*time.Millisecond)))
	}
	f := newFleet(p.program, st.address(), zones, 4, func(f *fleet) { f.cold = true })
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
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; time.Now().Before(at(over)); i++ {
			time.Sleep(time.Until(at(float64(i) / perS)))
			sent.send(request{node: f.nodes[i%len(f.nodes)], key: tenants[0].Keys[0], tenant: tenants[0].Name, method: "POST", path: "/gen/2f", prompt: 100, most: 200, deadline: 6 * time.Second, body: "text"})
		}
	}()
	time.Sleep(time.Until(at(down)))
	if p.trouble {
		st.goAway()
		p.record.note("the store is down: it resets all connections")
	}
	time.Sleep(time.Until(at(crash)))
	engines[0].crash()
	p.record.note("engine %s has crashed", engines[0].id)
	time.Sleep(time.Until(at(restart)))
	lives := []*engine{engines[0].startAgain("v1", coldStart)}
	p.record.note("engine %s is back under its id and at its address, cold for %v", engines[0].id, coldStart)
	for time.Now().Before(at(back)) {
		if last := lives[len(lives)-1]; time.Now().Before(last.coldUntil) && float64(mostInASecond(last.coldRuns())) > coldFalls {
			running := last.active()
			last.crash()
			p.record.note("engine %s has fallen over: it got %d requests within a second; %d were running", last.id, mostInASecond(last.coldRuns()), running)
			time.Sleep(time.Second)
			lives = append(lives, last.startAgain("v1", coldStart))
			p.record.note("engine %s is back, cold for %v", last.id, coldStart)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if p.trouble {
		st.comeBack()
		p.record.note("the store is back after %.1f s", back-down)
	}
	<-done
	sent.wg.Wait()
	worst := 0
	for _, e := range lives {
		worst = max(worst, mostInASecond(e.coldRuns()))
	}
	lost := 0
	for _, c := range sent.list() {
		if c.status == 200 && !c.whole || c.status == 502 {
			lost++
		}
	}
	const allowed = coldPerS*coldOverrun + coldTolerance
	broken := float64(worst) > allowed
	p.record.note("%d requests were lost at engines that ended", lost)
	p.record.note("most requests of a cold engine within a second: %d (allowed: %.1f): the rule %s", worst, allowed, map[bool]string{true: "is broken", false: "held"}[broken])
	var ran []run
	for _, e := range append(engines, lives...) {
		ran = append(ran, e.allRuns()...)
	}
	p.record.write(p.path, sent.list(), ran)
	return broken
}

// coldRuns returns when requests reached the engine while it was cold.
func (e *engine) coldRuns() []time.Time {
	var times []time.Time
	for _, r := range e.allRuns() {
		if r.at.Before(e.coldUntil) {
			times = append(times, r.at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	return times
}

// mostInASecond returns the most of the times that lie within any one second.
func mostInASecond(times []time.Time) int {
	first, most := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
