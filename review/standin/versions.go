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

func init() { cases["versions"] = versions }

// stream is one stream of a client over all its tries.
type stream struct {
	tries  []call
	pieces []piece
	whole  bool
}

// piece is one event that the client got.
type piece struct {
	number  int
	version string
	engine  string
	at      time.Time
}

// versionsOf returns the versions that wrote the stream's events, in order.
func (s stream) versions() []string {
	var of []string
	for _, p := range s.pieces {
		if len(of) == 0 || of[len(of)-1] != p.version {
			of = append(of, p.version)
		}
	}
	return of
}

func (s stream) mixed() bool {
	seen := map[string]bool{}
	for _, p := range s.pieces {
		seen[p.version] = true
	}
	return len(seen) > 1
}

func parsePieces(c call) []piece {
	var all []piece
	lines := strings.Split(c.body, "\n")
	for i := 0; i+1 < len(lines); i += 2 {
		id, ok := strings.CutPrefix(lines[i], "id: ")
		data, fine := strings.CutPrefix(lines[i+1], "data: ")
		fields := strings.Fields(data)
		if !ok || !fine || len(fields) != 4 || len(all) >= c.events {
			break
		}
		n, _ := strconv.Atoi(id)
		all = append(all, piece{number: n, version: fields[1], engine: fields[2]})
	}
	return all
}

// play one stream: after a broken connection the client takes it up at another node, as PROTOCOL.md says:
// Last-Event-Id, and Resumes with the attempt that brought its first event.
func playStream(f *fleet, tenant tenantSpec, prompt, most int, deadline time.Duration, all *calls) stream {
	var s stream
	end := time.Now().Add(deadline)
	first := ""
	for try := 0; try < 4; try++ {
		left := time.Until(end)
		if left < 300*time.Millisecond {
			break
		}
		q := request{node: f.nodes[rand.IntN(len(f.nodes))], key: tenant.Keys[0], tenant: tenant.Name, method: "POST", path: "/res/2f", prompt: prompt, most: most, deadline: left, body: "text", header: map[string]string{}, id: newID()}
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
		if c.whole && c.status == 200 {
			s.whole = true
			break
		}
		switch c.status {
		case 400, 401, 402, 404, 413:
			return s
		}
		time.Sleep(100 * time.Millisecond) // Retry-After of a refusal, or a new connection
	}
	return s
}

// versions: two engines of a service run one software version and two the next one, and the two older ones
// are upgraded in place, one after the other: each ends, and is back a second later under its id and at its
// address with the next version. Meanwhile the store is down.
func versions(p play) bool {
	const (
		clients = 60
		most    = 200 // 40 events, 50 ms apart: two seconds
	)
	st := newStore()
	tenants := []tenantSpec{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb"}, Prepaid: 100_000_000}}
	st.write("config", "main", configuration(7, tenants))
	var mu sync.Mutex
	var engines, all []*engine
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		e := startEngine(st, fmt.Sprintf("i-llm-%d", i+1), "llm", []string{"lozenets", "mladost"}[i%2], version, 64, generate(50*time.Millisecond))
		engines, all = append(engines, e), append(all, e)
	}
	f := newFleet(p.program, st.address(), []string{"lozenets", "mladost"}, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if !f.awaitReady(ctx) {
		check(fmt.Errorf("the nodes are not ready"))
	}
	p.record.note("all %d nodes are ready", len(f.nodes))
	time.Sleep(2 * time.Second)

	var sent calls
	var streams []stream
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			for time.Now().Before(at(12)) {
				s := playStream(f, tenants[0], 100, most, 6*time.Second, &sent)
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
			}
		})
	}
	const (
		down     = 3.0 // the store goes away
		upgraded = 4.0 // the first engine ends
		gap      = 2.5 // until the next one does
		back     = 9.0 // the store is back
	)
	time.Sleep(time.Until(at(down)))
	if p.trouble {
		st.goAway()
		p.record.note("the store is down: it resets all connections")
	}
	for i, e := range engines[:2] {
		time.Sleep(time.Until(at(upgraded + gap*float64(i))))
		e.crash()
		p.record.note("engine %s (%s) has ended", e.id, e.version)
		time.Sleep(time.Second)
		next := e.startAgain("v2", 0)
		mu.Lock()
		all = append(all, next)
		mu.Unlock()
		p.record.note("engine %s is back under its id and at its address, with version v2", e.id)
	}
	time.Sleep(time.Until(at(back)))
	if p.trouble {
		st.comeBack()
		p.record.note("the store is back after %.1f s", back-down)
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
		if mixed <= 12 {
			var tries []string
			for _, c := range s.tries {
				tries = append(tries, fmt.Sprintf("%s at %s (status %d, %d events)", c.id, c.node, c.status, c.events))
			}
			p.record.note("a stream holds events of %s: tries %s", strings.Join(s.versions(), ", then "), strings.Join(tries, "; "))
		}
	}
	broken := mixed > 2
	p.record.note("%d streams, %d whole, %d with events of two versions (allowed: 2): the rule %s", len(streams), whole, mixed, map[bool]string{true: "is broken", false: "held"}[broken])
	var ran []run
	for _, e := range all {
		ran = append(ran, e.allRuns()...)
	}
	p.record.write(p.path, sent.list(), ran)
	return broken
}
