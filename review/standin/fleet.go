package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		cleanUp()
		os.Exit(2)
	}
}

// node is one machine with a process of the project's own program.
type node struct {
	name, zone          string
	listen, ready, peer string
	fleet               *fleet

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone bool // not to be started again
	runs int
}

// fleet starts the nodes of a small deployment and starts those again that end, as the platform does.
type fleet struct {
	program, folder string
	cold            bool // the deployment has the bounds of cold engines
	store           string
	nodes           []*node
}

var (
	cleaning sync.Mutex
	started  []*fleet
)

// cleanUp ends all processes that were started.
func cleanUp() {
	cleaning.Lock()
	defer cleaning.Unlock()
	for _, f := range started {
		for _, n := range f.nodes {
			n.stopForGood()
		}
		_ = os.RemoveAll(f.folder)
	}
	started = nil
}

// freePort returns an address with a free port on a loopback address of its own.
func freePort(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

func newFleet(program, storeAddress string, zones []string, nodes int, options ...func(*fleet)) *fleet {
	folder, err := os.MkdirTemp("", "lynxshed-review-")
	check(err)
	f := &fleet{program: program, folder: folder, store: storeAddress}
	for _, set := range options {
		set(f)
	}
	cleaning.Lock()
	started = append(started, f)
	cleaning.Unlock()
	net := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
	for i := range nodes {
		ip := net + strconv.Itoa(i+1)
		n := &node{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], fleet: f, listen: freePort(ip), ready: freePort(ip), peer: freePort(ip)}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.start(true)
	}
	return f
}

// settings are those of deploy/settings.template with the bounds of SYSTEM.md's small deployment.
func (n *node) settings(bootstrap bool) string {
	zones := map[string]string{}
	for _, m := range n.fleet.nodes {
		zones[m.zone] = "sofia"
	}
	s := map[string]any{
		"node": n.name, "zone": n.zone, "listen": n.listen, "ready": map[string]any{"address": n.ready, "path": "/lynxshed/readyz"}, "peer": n.peer, "store": n.fleet.store,
		"historyS": 20, "contactMs": 3000, "applyMs": 2000, "leavingMs": 2000, "regions": zones, "linkMbps": 1000.0, "memoryMB": 284, "drainS": 8,
		"retry": map[string]any{"ratio": 0.2, "slack": 54, "windowS": 10},
	}
	if n.fleet.cold {
		s["evacuateMs"], s["cold"] = 5000, map[string]any{"overrun": coldOverrun, "tolerance": coldTolerance}
	}
	if bootstrap {
		s["bootstrap"] = true
	}
	data, err := json.Marshal(s)
	check(err)
	path := filepath.Join(n.fleet.folder, n.name+".jsonc")
	check(os.WriteFile(path, data, 0o600))
	return path
}

// start starts the process with the command of the deploy file: target/lynxshed relay.
func (n *node) start(bootstrap bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gone {
		return
	}
	cmd := exec.Command(n.fleet.program, "relay")
	cmd.Env = append(os.Environ(), "LYNXSHED_NODE_FILE="+n.settings(bootstrap))
	out, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd.Stdout, cmd.Stderr = out, out
	check(cmd.Start())
	_ = out.Close()
	n.cmd = cmd
	n.runs++
	go func() { _ = cmd.Wait() }()
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) kill() { n.signal(os.Kill) }

func (n *node) stopForGood() {
	n.mu.Lock()
	n.gone = true
	n.mu.Unlock()
	n.kill()
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/lynxshed/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(ctx context.Context) bool {
	for _, n := range f.nodes {
		for !n.isReady() {
			if ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
