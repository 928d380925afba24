package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/ctl/client"
	"github.com/lynxshed/lynxshed/ctl/fabric"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/node"
	"github.com/lynxshed/lynxshed/fleet/problem"
	"github.com/lynxshed/lynxshed/fleet/settings"
	"github.com/lynxshed/lynxshed/standin/application"
	"github.com/lynxshed/lynxshed/standin/engine"
	"github.com/lynxshed/lynxshed/standin/platform"
)

const (
	secretBytes         = 16
	readyTimeout        = 30 * time.Second
	readyPollInterval   = 50 * time.Millisecond
	applicationCallTime = 2 * time.Millisecond
	// demoFlushMs makes the demo write to the platform more often than a deployment does.
	demoFlushMs = 1000
)

// Component is a part of the demo that serves a URL: a node, an engine or an application.
type Component struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	URL  string `json:"url"`
}

// CustomerKey is the name of a customer and its API key.
type CustomerKey struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Info holds the addresses and keys of a demo, as written to the file of --addr-file.
type Info struct {
	Platform     string        `json:"platform"`
	Control      string        `json:"control"`
	Nodes        []Component   `json:"nodes"`
	Engines      []Component   `json:"engines"`
	Applications []Component   `json:"applications"`
	Customers    []CustomerKey `json:"customers"`
	OperatorKey  string        `json:"operatorKey"`
}

// Demo is a running deployment, created by Start.
type Demo struct {
	deployment Deployment
	info       Info
	fabric     *fabric.Fabric
	platform   *platform.Platform
	fleetKey   string
	log        log.Interface
	ctx        context.Context
	cancel     context.CancelFunc

	mu      sync.Mutex
	running map[string]*incarnation
	servers []*http.Server
	wg      sync.WaitGroup
}

// incarnation is one start of a node at its address.
type incarnation struct {
	component Component
	node      *node.Node
	port      *fabric.Port
	done      chan struct{}
}

// Start starts a deployment and returns once all nodes are ready.
func Start(ctx context.Context, deployment Deployment, l log.Interface) (*Demo, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Demo{
		deployment: deployment,
		fabric:     fabric.New(),
		platform:   platform.New(platform.Options{}),
		fleetKey:   newSecret(),
		log:        l,
		ctx:        ctx,
		cancel:     cancel,
		running:    map[string]*incarnation{},
	}
	d.info.OperatorKey = newSecret()
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func newSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.info.Platform, err = d.serve(d.platform.Handler(), fabric.Platform); err != nil {
		return err
	}
	if d.info.Control, err = d.serve(d.control(), ""); err != nil {
		return err
	}
	if err := d.startEndpoints(); err != nil {
		return err
	}
	for i := range d.deployment.Customers {
		d.info.Customers = append(d.info.Customers, CustomerKey{Name: d.deployment.customerName(i), Key: newSecret()})
	}
	if err := d.reserveAddresses(); err != nil {
		return err
	}
	for _, c := range d.info.Nodes {
		if err := d.startNode(c); err != nil {
			return err
		}
	}
	return d.seedTable(ctx)
}

// serve serves a handler on a free loopback port and returns its URL.
func (d *Demo) serve(h http.Handler, location fabric.Location) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	if location != "" {
		d.fabric.SetLocation(listener.Addr().String(), location)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	d.servers = append(d.servers, server)
	d.wg.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String(), nil
}

func (d *Demo) startEndpoints() error {
	for i := range d.deployment.Engines {
		zone := d.deployment.zoneOf(i)
		name := fmt.Sprintf("engine-%02d", i+1)
		e := engine.New(engine.Options{Name: name, TokenTime: d.deployment.TokenTime, ChecksFence: true})
		url, err := d.serve(e.Handler(), fabric.Location(zone))
		if err != nil {
			return err
		}
		d.info.Engines = append(d.info.Engines, Component{Name: name, Zone: zone, URL: url})
	}
	for i := range d.deployment.Applications {
		zone := d.deployment.zoneOf(i)
		name := fmt.Sprintf("application-%02d", i+1)
		url, err := d.serve(application.New(name, applicationCallTime).Handler(), fabric.Location(zone))
		if err != nil {
			return err
		}
		d.info.Applications = append(d.info.Applications, Component{Name: name, Zone: zone, URL: url})
	}
	return nil
}

// reserveAddresses reserves the addresses of all nodes before the first one starts, so that each knows its
// peers.
func (d *Demo) reserveAddresses() error {
	for i := range d.deployment.Nodes {
		zone := d.deployment.zoneOf(i)
		address, err := d.fabric.Reserve(fabric.Location(zone))
		if err != nil {
			return errors.Wrap(err, "reserve an address")
		}
		d.info.Nodes = append(d.info.Nodes, Component{Name: d.deployment.nodeName(i), Zone: zone, URL: "http://" + address})
	}
	return nil
}

func (d *Demo) settingsOf(c Component) settings.Settings {
	s := settings.Default()
	s.Node, s.Zone, s.Advertise, s.Platform = c.Name, c.Zone, c.URL, d.info.Platform
	s.Listen = c.URL[len("http://"):]
	s.Timing.FlushMs, s.Timing.LedgerMs = demoFlushMs, demoFlushMs
	for _, other := range d.info.Nodes {
		if other.Name != c.Name {
			s.Peers = append(s.Peers, other.URL)
		}
	}
	return s
}

func (d *Demo) startNode(c Component) error {
	port := d.fabric.Port(fabric.Location(c.Zone))
	n, err := node.New(d.ctx, node.Options{
		Settings:       d.settingsOf(c),
		FleetKey:       d.fleetKey,
		OperatorHashes: []string{catalog.HashKey(d.info.OperatorKey)},
		Network:        port,
		Gate:           port.Gate,
		Log:            d.log,
	})
	if err != nil {
		return errors.Wrapf(err, "start node %s", c.Name)
	}
	i := &incarnation{component: c, node: n, port: port, done: make(chan struct{})}
	d.mu.Lock()
	d.running[c.Name] = i
	d.mu.Unlock()
	d.platform.SetVM(platform.VM{Name: c.Name, Zone: c.Zone, URL: c.URL, State: "live"})
	d.wg.Go(func() { d.runNode(i) })
	return nil
}

// runNode runs a node until it ends. If it ended by itself, after a planned stop, its VM is removed from the
// platform's list.
func (d *Demo) runNode(i *incarnation) {
	defer close(i.done)
	if err := i.node.Run(d.ctx); err != nil && d.ctx.Err() == nil {
		d.log.WithError(err).WithField("node", i.component.Name).Warn("node ended")
	}
	d.mu.Lock()
	current := d.running[i.component.Name] == i
	if current {
		delete(d.running, i.component.Name)
	}
	d.mu.Unlock()
	if current && d.ctx.Err() == nil {
		d.platform.RemoveVM(i.component.Name)
	}
}

// seedTable writes the rows of the deployment to the table and waits until all nodes are ready.
func (d *Demo) seedTable(ctx context.Context) error {
	c := client.New([]string{d.info.Nodes[0].URL}, d.info.OperatorKey)
	deadline := time.Now().Add(readyTimeout)
	var revision int64
	for {
		accepted, err := c.Edit(ctx, "fill-"+d.deployment.Name, "demo", d.seedEdits())
		if err == nil {
			revision = accepted.Revision
			break
		}
		var p *problem.Problem
		if refused := errors.As(err, &p) && p.Reason != problem.PlatformUnreachable; refused || time.Now().After(deadline) {
			return errors.Wrap(err, "fill the table")
		}
		time.Sleep(readyPollInterval)
	}
	for !d.ready(revision) {
		if time.Now().After(deadline) {
			return errors.New("the nodes did not become ready")
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// ready reports whether all nodes run the revision, know all others and hold their share of the budgets.
func (d *Demo) ready(revision int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := 0
	for _, i := range d.running {
		if i.node.Revision() < revision || len(i.node.View().Members()) < len(d.info.Nodes)-1 {
			return false
		}
		for _, h := range i.node.Keeper().Holding().Holdings() {
			if h.Held > 0 {
				held++
			}
		}
	}
	return held >= len(d.deployment.Zones)*d.deployment.Customers
}

// Info returns the addresses and keys of the demo.
func (d *Demo) Info() Info { return d.info }

// Close stops all nodes and servers and waits until they have ended.
func (d *Demo) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.fabric.Release()
	d.wg.Wait()
}
