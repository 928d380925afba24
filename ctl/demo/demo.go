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
	secretBytes  = 16
	readyTimeout = 30 * time.Second
	readyPause   = 50 * time.Millisecond
	appTime      = 2 * time.Millisecond
	// The demo writes to the platform more often than a deployment would.
	demoFlushMs = 1000
)

// Place is something of the demo that can be called.
type Place struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	URL  string `json:"url"`
}

// CustomerKey is a customer with its key.
type CustomerKey struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Info is what --addr-file writes.
type Info struct {
	Platform     string        `json:"platform"`
	Control      string        `json:"control"`
	Nodes        []Place       `json:"nodes"`
	Engines      []Place       `json:"engines"`
	Applications []Place       `json:"applications"`
	Customers    []CustomerKey `json:"customers"`
	OperatorKey  string        `json:"operatorKey"`
}

// Demo is a running deployment; Start makes one.
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
	nodes   map[string]*life
	servers []*http.Server
	work    sync.WaitGroup
}

// life is one life of a node in its place.
type life struct {
	place Place
	node  *node.Node
	port  *fabric.Port
	done  chan struct{}
}

// Start starts a deployment and returns once every node is ready.
func Start(ctx context.Context, deployment Deployment, l log.Interface) (*Demo, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Demo{
		deployment: deployment,
		fabric:     fabric.New(),
		platform:   platform.New(platform.Options{}),
		fleetKey:   secret(),
		log:        l,
		ctx:        ctx,
		cancel:     cancel,
		nodes:      map[string]*life{},
	}
	d.info.OperatorKey = secret()
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func secret() string {
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
		d.info.Customers = append(d.info.Customers, CustomerKey{Name: d.deployment.customerName(i), Key: secret()})
	}
	if err := d.placeNodes(); err != nil {
		return err
	}
	for _, p := range d.info.Nodes {
		if err := d.startNode(p); err != nil {
			return err
		}
	}
	return d.fill(ctx)
}

// serve puts a handler on a loopback port.
func (d *Demo) serve(h http.Handler, place fabric.Place) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	if place != "" {
		d.fabric.Put(listener.Addr().String(), place)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	d.servers = append(d.servers, server)
	d.work.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String(), nil
}

func (d *Demo) startEndpoints() error {
	for i := range d.deployment.Engines {
		zone := d.deployment.zoneOf(i)
		name := fmt.Sprintf("engine-%02d", i+1)
		e := engine.New(engine.Options{Name: name, TokenTime: d.deployment.TokenTime, ChecksFence: true})
		url, err := d.serve(e.Handler(), fabric.Place(zone))
		if err != nil {
			return err
		}
		d.info.Engines = append(d.info.Engines, Place{Name: name, Zone: zone, URL: url})
	}
	for i := range d.deployment.Applications {
		zone := d.deployment.zoneOf(i)
		name := fmt.Sprintf("application-%02d", i+1)
		url, err := d.serve(application.New(name, appTime).Handler(), fabric.Place(zone))
		if err != nil {
			return err
		}
		d.info.Applications = append(d.info.Applications, Place{Name: name, Zone: zone, URL: url})
	}
	return nil
}

// placeNodes picks every node's address before the first starts, so that each
// knows some peers.
func (d *Demo) placeNodes() error {
	for i := range d.deployment.Nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		defer listener.Close()
		zone := d.deployment.zoneOf(i)
		address := listener.Addr().String()
		d.fabric.Put(address, fabric.Place(zone))
		d.info.Nodes = append(d.info.Nodes, Place{Name: d.deployment.nodeName(i), Zone: zone, URL: "http://" + address})
	}
	return nil
}

func (d *Demo) settingsOf(p Place) settings.Settings {
	s := settings.Default()
	s.Node, s.Zone, s.Advertise, s.Platform = p.Name, p.Zone, p.URL, d.info.Platform
	s.Listen = p.URL[len("http://"):]
	s.Timing.FlushMs, s.Timing.LedgerMs = demoFlushMs, demoFlushMs
	for _, other := range d.info.Nodes {
		if other.Name != p.Name {
			s.Peers = append(s.Peers, other.URL)
		}
	}
	return s
}

func (d *Demo) startNode(p Place) error {
	port := d.fabric.Port(fabric.Place(p.Zone))
	n, err := node.New(d.ctx, node.Options{
		Settings:       d.settingsOf(p),
		FleetKey:       d.fleetKey,
		OperatorHashes: []string{catalog.HashKey(d.info.OperatorKey)},
		Network:        port,
		Gate:           port.Gate,
		Log:            d.log,
	})
	if err != nil {
		return errors.Wrapf(err, "start node %s", p.Name)
	}
	l := &life{place: p, node: n, port: port, done: make(chan struct{})}
	d.mu.Lock()
	d.nodes[p.Name] = l
	d.mu.Unlock()
	d.platform.SetVM(platform.VM{Name: p.Name, Zone: p.Zone, URL: p.URL, State: "live"})
	d.work.Go(func() { d.live(l) })
	return nil
}

// live runs a node to its end; after a planned stop its VM is gone.
func (d *Demo) live(l *life) {
	defer close(l.done)
	if err := l.node.Run(d.ctx); err != nil && d.ctx.Err() == nil {
		d.log.WithError(err).WithField("node", l.place.Name).Warn("node ended")
	}
	d.mu.Lock()
	current := d.nodes[l.place.Name] == l
	if current {
		delete(d.nodes, l.place.Name)
	}
	d.mu.Unlock()
	if current && d.ctx.Err() == nil {
		d.platform.RemoveVM(l.place.Name)
	}
}

// fill puts the rows into the table and waits until every node runs them.
func (d *Demo) fill(ctx context.Context) error {
	c := client.New([]string{d.info.Nodes[0].URL}, d.info.OperatorKey)
	deadline := time.Now().Add(readyTimeout)
	var revision int64
	for {
		accepted, err := c.Edit(ctx, "fill-"+d.deployment.Name, "demo", d.rows())
		if err == nil {
			revision = accepted.Revision
			break
		}
		var p *problem.Problem
		if refused := errors.As(err, &p) && p.Reason != problem.PlatformOut; refused || time.Now().After(deadline) {
			return errors.Wrap(err, "fill the table")
		}
		time.Sleep(readyPause)
	}
	for !d.ready(revision) {
		if time.Now().After(deadline) {
			return errors.New("the nodes did not become ready")
		}
		time.Sleep(readyPause)
	}
	return nil
}

// ready reports whether every node runs the revision, sees all others and holds its share of the budgets.
func (d *Demo) ready(revision int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := 0
	for _, l := range d.nodes {
		if l.node.Revision() < revision || len(l.node.View().Members()) < len(d.info.Nodes)-1 {
			return false
		}
		for _, h := range l.node.Keeper().Holding().Holdings() {
			if h.Held > 0 {
				held++
			}
		}
	}
	return held >= len(d.deployment.Zones)*d.deployment.Customers
}

// Info tells where everything is.
func (d *Demo) Info() Info { return d.info }

// Close ends everything at once.
func (d *Demo) Close() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.work.Wait()
}
