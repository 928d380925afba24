// Package peer lets the nodes of a fleet discover each other through the store and exchange
// state: what each has in flight at which endpoint, budget reports, token transfers, and
// reports on endpoints, by small datagrams; and the store's objects by HTTP.
package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Kind is the kind of object under which nodes register in the store.
const Kind = "lynxshed-nodes"

// Member is the registration of a node.
type Member struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"life"` // incarnation of the node; differs for each start
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`            // for datagrams, lists and watches, IP:PORT
	LinkMbps    float64 `json:"linkMbps,omitempty"` // link speed of its VM; 0 if unknown
	Build       string  `json:"build,omitempty"`    // build of its program; "" if not reported
	Tunnels     bool    `json:"tunnels,omitempty"`  // it opens tunnels to endpoints for other nodes
	Origins     bool    `json:"origins,omitempty"`  // it keeps for other nodes which versions began their streams

	KeepsOrigins bool `json:"keepsOrigins,omitempty"` // it may write to the store which versions began the streams of all nodes
}

// Registry tracks the nodes that the store lists.
type Registry struct {
	store   store.Store
	self    Member
	log     log.Interface
	health  *store.Health
	history time.Duration
	startup time.Duration // that a fleet starting as a whole takes to register; 0: it is running already
	members atomic.Pointer[[]Member]
	faults  *store.Faults
	left    atomic.Bool

	rewriteDue  chan struct{}             // holds a value while this node's own entry must be written again
	onChange    []func([]Member)          // called for each change of the members
	lastEnded   atomic.Pointer[time.Time] // when an incarnation of a node was last found to have ended; nil: never
	ownRevision atomic.Int64              // store.Revision of this node's entry as last listed; 0 if none
	listed      chan struct{}             // closed once the nodes of the fleet were listed
	listedOnce  sync.Once

	// Used only by the follower's goroutine.
	byName map[string]Member
	at     store.Revision  // of the last list
	ended  map[string]bool // incarnations that left by removing their entry
}

// NewRegistry returns a registry that knows no other node yet. Health is shared with the
// node's other followers, and history is how long the store keeps its history.
func NewRegistry(s store.Store, self Member, health *store.Health, history time.Duration, l log.Interface) *Registry {
	r := &Registry{store: s, self: self, log: l, health: health, history: history, byName: map[string]Member{}, ended: map[string]bool{}, listed: make(chan struct{}), faults: store.NewFaults(l, nil), rewriteDue: make(chan struct{}, 1)}
	r.publish()
	return r
}

// Starting makes the registry of a fleet that starts as a whole register first and list the
// nodes only after startup, when the others have registered. Otherwise each node lists some
// of them and watches for the rest, which costs two calls per node.
func (r *Registry) Starting(startup time.Duration) *Registry {
	r.startup = startup
	return r
}

// WithFaults logs entries that can't be decoded through f, which the node shares.
func (r *Registry) WithFaults(f *store.Faults) *Registry {
	r.faults = f
	return r
}

// OnChange registers a function that is called for each change of the members. It must be
// called before Run.
func (r *Registry) OnChange(notify func([]Member)) { r.onChange = append(r.onChange, notify) }

// Members lists the nodes, including this one, sorted by name.
func (r *Registry) Members() []Member { return *r.members.Load() }

// Count returns the number of nodes, including this one.
func (r *Registry) Count() int { return len(r.Members()) }

// assumedNodes is the assumed number of nodes before the first list.
const assumedNodes = 1000

// LastEnded returns when an incarnation of a node was last found to have ended: its entry went, or
// another incarnation took its place. It is zero if that never happened.
func (r *Registry) LastEnded() time.Time {
	if at := r.lastEnded.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (r *Registry) recordEnded() {
	now := clock.Now()
	r.lastEnded.Store(&now)
}

// Listed reports whether the nodes of the fleet were listed.
func (r *Registry) Listed() bool {
	select {
	case <-r.listed:
		return true
	default:
		return false
	}
}

// Sharers returns the number of nodes among which a fleet-wide bound is divided. A node that
// has just started and knows no other one must not take itself for the only one.
func (r *Registry) Sharers() int {
	if r.Listed() {
		return r.Count()
	}
	return max(assumedNodes, r.Count())
}

// Run registers this node and follows the others until ctx ends. It also passes each change
// to observe.
func (r *Registry) Run(ctx context.Context, observe func(store.Change)) {
	go r.register(ctx)
	clock.Pause(ctx, r.startup)
	store.Follow(ctx, r.store, store.FollowOptions{Kind: Kind, Rest: r.rest, History: r.history, Health: r.health, Log: r.log}, func(c store.Change) {
		observe(c)
		r.apply(c)
	})
}

// Maximum lag of the list of nodes. In a small fleet each node's share of the budgets depends
// on the list; in a large one the few nodes that write the ledger receive updates from each other.
const (
	smallFleetRest = 300 * time.Millisecond
	largeFleetRest = time.Second
)

func (r *Registry) rest() time.Duration {
	if r.Count() > allWrite {
		return largeFleetRest
	}
	return smallFleetRest
}

// registerBackoff is the time between attempts to register. The first attempt waits for the
// list of the nodes, which shows the entry of an earlier incarnation of this node, unless
// the whole fleet starts.
const registerBackoff = 500 * time.Millisecond

// rewriteDelay is the time before this node's own entry, overwritten by another writer, is
// written again.
const rewriteDelay = 2 * time.Second

func (r *Registry) register(ctx context.Context) {
	if r.startup == 0 {
		r.AwaitListed(ctx)
	}
	for ctx.Err() == nil && !r.left.Load() {
		select {
		case <-r.rewriteDue: // the write below replaces the entry
		default:
		}
		if err := r.write(ctx); err != nil {
			clock.Pause(ctx, registerBackoff)
			continue
		}
		r.log.WithField("life", r.self.Incarnation).Info("registered")
		select {
		case <-ctx.Done():
		case <-r.rewriteDue:
			clock.Pause(ctx, store.Jittered(rewriteDelay))
		}
	}
}

func (r *Registry) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, err := json.Marshal(r.self)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	o := store.Object{Kind: Kind, Name: r.self.Name, Revision: store.Revision(r.ownRevision.Load()), Data: data}
	_, err = r.store.Put(ctx, o)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	before, err := r.store.Get(ctx, Kind, r.self.Name)
	if err != nil {
		return err
	}
	if before.Revision.Number() == 0 { // not even its revision can be decoded, so it can't be replaced
		return errors.CombineErrors(r.remove(ctx), errors.New("removed an entry of this node that can't be decoded"))
	}
	o.Revision = before.Revision
	_, err = r.store.Put(ctx, o)
	return err
}

// Leave removes this node's registration.
func (r *Registry) Leave(ctx context.Context) error {
	r.left.Store(true)
	return r.remove(ctx)
}

func (r *Registry) remove(ctx context.Context) error {
	err := r.store.Delete(ctx, Kind, r.self.Name)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

func (r *Registry) apply(c store.Change) {
	switch c := c.(type) {
	case store.Snapshot:
		fromBackup := r.at.IsOfEraBefore(c.Revision)
		r.at = c.Revision
		before := r.byName
		r.byName = map[string]Member{}
		for _, o := range c.Objects {
			r.put(o)
		}
		for name, m := range before {
			if r.byName[name].Incarnation != m.Incarnation {
				r.recordEnded()
			}
		}
		if fromBackup {
			r.restoreOwn()
		}
	case store.Update:
		for _, e := range c.Events {
			if e.Gone {
				r.gone(e.Object.Name)
				continue
			}
			r.put(e.Object)
		}
	case store.Lost:
		return
	}
	r.publish()
	r.listedOnce.Do(func() { close(r.listed) })
}

// maxEnded limits the number of incarnations that are remembered after they left.
const maxEnded = 512

// restoreOwn requests a rewrite of this node's own entry if a restored store lacks it or
// holds that of an earlier incarnation.
func (r *Registry) restoreOwn() {
	own, listed := r.byName[r.self.Name]
	if listed && own.Incarnation == r.self.Incarnation {
		return
	}
	if !listed {
		r.ownRevision.Store(0)
	}
	r.log.WithField("life", r.self.Incarnation).WithField("listed", own.Incarnation).WithField("revision", r.at.Number()).WithField("era", r.at.Era()).Warn("restored store lacks this node's entry: writing it again")
	r.rewrite()
}

func (r *Registry) gone(name string) {
	if m, known := r.byName[name]; known {
		r.recordEnded()
		if len(r.ended) >= maxEnded {
			clear(r.ended)
		}
		r.ended[m.Incarnation] = true
	}
	delete(r.byName, name)
	r.faults.Gone(store.Object{Kind: Kind, Name: name})
	if name == r.self.Name {
		r.ownRevision.Store(0)
	}
}

// put applies an entry. If it can't be decoded, its node is no longer known, whatever the
// entry was before.
func (r *Registry) put(o store.Object) {
	own := o.Name == r.self.Name
	if own {
		r.ownRevision.Store(int64(o.Revision))
	}
	m, err := memberOf(o)
	if err == nil && r.ended[m.Incarnation] && !own {
		r.log.WithField("node", m.Name).WithField("life", m.Incarnation).WithField("revision", o.Revision.Number()).WithField("era", o.Revision.Era()).Info("ignoring the entry of an incarnation that left, listed again by a restored store")
		return
	}
	if err == nil {
		r.faults.Resolve(o)
		if before, known := r.byName[o.Name]; known && before.Incarnation != m.Incarnation {
			r.recordEnded()
		}
		r.byName[o.Name] = m
		return
	}
	r.faults.Report(o, "node", "no node", err)
	delete(r.byName, o.Name)
	if own && m != r.self { // this node would write the same again
		r.rewrite()
	}
}

// rewrite requests that this node's own entry is written again.
func (r *Registry) rewrite() {
	select {
	case r.rewriteDue <- struct{}{}:
	default: // already requested
	}
}

func memberOf(o store.Object) (Member, error) {
	var m Member
	if err := o.Readable(); err != nil {
		return m, err
	}
	if err := store.Unmarshal(o.Data, &m); err != nil {
		return m, errors.Wrap(err, "registration")
	}
	if m.Name == "" || m.Name != o.Name {
		return m, errors.Newf("registration of %.40q", m.Name)
	}
	if len(m.Incarnation)+len(m.Zone)+len(m.Build) > maxMemberText {
		return m, errors.Newf("registration with %d bytes of incarnation, zone and build", len(m.Incarnation)+len(m.Zone)+len(m.Build))
	}
	if _, err := socketAddress(m.Address); err != nil {
		return m, errors.Wrap(err, "registration")
	}
	return m, nil
}

// maxMemberText is the maximum length of a member's incarnation, zone and build together: other nodes
// log them and send the incarnation in each message.
const maxMemberText = 4 << 10 // bytes

// socketAddress parses a node's address, IP:PORT. A host name is none: each message would look it up.
func socketAddress(text string) (*net.UDPAddr, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return nil, errors.Newf("%.40q is not a valid address", text)
	}
	return net.UDPAddrFromAddrPort(address), nil
}

func (r *Registry) publish() {
	members := make([]Member, 0, len(r.byName)+1)
	members = append(members, r.self)
	for _, m := range r.byName {
		if m.Name != r.self.Name {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	r.members.Store(&members)
	for _, notify := range r.onChange {
		notify(members)
	}
}

// listTimeout limits how long a starting node waits for the first list of the nodes.
const listTimeout = time.Second

// AwaitListed returns once the nodes of the fleet were listed, or after listTimeout.
func (r *Registry) AwaitListed(ctx context.Context) {
	timer := time.NewTimer(listTimeout)
	defer timer.Stop()
	select {
	case <-r.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
