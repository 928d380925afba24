package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one try of a client.
type call struct {
	id, node, tenant, path string
	sent, ended            time.Time
	status                 int // 0: no answer
	prompt, most           int
	events                 int // received whole
	whole                  bool
	failure                string
	sealed                 bool // the answer has the engine's signature
	body                   string
}

// received returns the tokens that the tenant received: the prompt, if an event came, and those of the events.
func (c call) received() int {
	if c.events == 0 {
		return 0
	}
	return c.prompt + c.events*stride
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

type request struct {
	node            *node
	key, tenant     string
	method, path    string
	prompt, most    int
	deadline        time.Duration
	body            string
	header          map[string]string
	id              string
	stopAfterEvents int
}

const host = "ficu95.example"

// do sends one try on a new connection and reads its whole answer.
func do(q request) (c call) {
	c = call{id: q.id, node: q.node.name, tenant: q.tenant, path: q.path, prompt: q.prompt, most: q.most, sent: time.Now()}
	if c.id == "" {
		c.id = newID()
	}
	defer func() { c.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp4", q.node.listen, time.Second)
	if err != nil {
		c.failure = "no connection"
		return c
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nLynxshed-Attempt-Id: %s\r\nLynxshed-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", q.method, q.path, host, c.id, q.deadline.Milliseconds(), q.key, len(q.body))
	if q.most > 0 {
		fmt.Fprintf(&b, "Lynxshed-Model: m\r\nLynxshed-Token-Usage: %d,%d\r\nLynxshed-Prefix-Hash: %s:%d\r\n", q.prompt, q.most, c.id[:8], q.prompt)
	}
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		c.failure = err.Error()
		return c
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		c.failure = "no answer: " + err.Error()
		return c
	}
	defer resp.Body.Close()
	c.status, c.sealed = resp.StatusCode, resp.Header.Get("Lynxshed-Response-Seal") != ""
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		c.body, c.whole = string(data), err == nil
		if err != nil {
			c.failure = err.Error()
		}
		return c
	}
	lines := bufio.NewReader(resp.Body)
	begun := false
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			c.whole = true
			return c
		}
		if err != nil {
			c.failure = err.Error()
			return c
		}
		if line != "\n" {
			begun = true
			c.body += line
			continue
		}
		if begun {
			c.events++
			begun = false
		}
		if q.stopAfterEvents > 0 && c.events >= q.stopAfterEvents {
			return c
		}
	}
}

// calls collects what clients saw.
type calls struct {
	mu  sync.Mutex
	all []call
	wg  sync.WaitGroup
}

func (c *calls) add(one call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, one)
}

func (c *calls) list() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call{}, c.all...)
}

// send sends a request beside others.
func (c *calls) send(q request) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.add(do(q))
	}()
}
