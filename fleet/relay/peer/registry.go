// Package peer lets relaying nodes find each other through the store and tell
// each other, by small datagrams, what they have sent to which endpoint.
package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Kind is the store's kind in which nodes register.
const Kind = "lynxshed-nodes"

// Member is one node as it registers.
type Member struct {
	Name     string  `json:"name"`
	Life     string  `json:"life"` // differs for each start
	Zone     string  `json:"zone"`
	Address  string  `json:"address"`            // for datagrams and for lists and watches, IP:PORT
	LinkMbps float64 `json:"linkMbps,omitempty"` // of its VM; 0 is not known
	Build    string  `json:"build,omitempty"`    // of its program; "": it does not say
}

// Registry is the nodes that the store lists.
type Registry struct {
	store   store.Store
	self    Member
	log     log.Interface
	health  *store.Health
	history time.Duration
	starts  time.Duration // that the fleet takes to register as a whole; 0: it is there already
	members atomic.Pointer[[]Member]
	faults  *store.Faults
	left    atomic.Bool
	spoiled chan struct{}    // holds one where this node's own entry can't be read
	changed []func([]Member) // told of each change of the members
	own     atomic.Int64     // store.Revision of this node's entry, as listed last; 0 is none
	listed  chan struct{}    // closed once the nodes of the fleet were listed
	once    sync.Once
	byName  map[string]Member // of the follower's goroutine only, as the others
	at      store.Revision    // of the last list
	over    map[string]bool   // lives that left, as they said themselves
}

// NewRegistry returns a registry that knows no other node yet; health is shared
// with the node's other followers, and history is how long the store keeps it.
func NewRegistry(s store.Store, self Member, health *store.Health, history time.Duration, l log.Interface) *Registry {
	r := &Registry{store: s, self: self, log: l, health: health, history: history, byName: map[string]Member{}, over: map[string]bool{}, listed: make(chan struct{}), faults: store.NewFaults(l, nil), spoiled: make(chan struct{}, 1)}
	r.publish()
	return r
}

// Starting has the registry of a fleet that starts as a whole register first and list the
// nodes after some time, when the others have: else each node lists some of them and
// watches for the rest, two calls a node.
func (r *Registry) Starting(takes time.Duration) *Registry {
	r.starts = takes
	return r
}

// WithFaults has entries that can't be read told of together with the node's others.
func (r *Registry) WithFaults(f *store.Faults) *Registry {
	r.faults = f
	return r
}

// OnChange has a function told of each change of the members, before Run.
func (r *Registry) OnChange(tell func([]Member)) { r.changed = append(r.changed, tell) }

// Members lists the nodes, this one included, by name.
func (r *Registry) Members() []Member { return *r.members.Load() }

// Count is how many nodes there are, this one included.
func (r *Registry) Count() int { return len(r.Members()) }

// unlistedFleet stands for the number of nodes while none were listed.
const unlistedFleet = 1000

// Sharers is by how many nodes a bound of the whole fleet is to be shared out: a node that
// has just started, and knows of no other, is not taken for the only one.
func (r *Registry) Sharers() int {
	select {
	case <-r.listed:
		return r.Count()
	default:
		return max(unlistedFleet, r.Count())
	}
}

// Run registers this node and follows the others until ctx ends; seen takes each
// change too.
func (r *Registry) Run(ctx context.Context, seen func(store.Change)) {
	go r.register(ctx)
	clock.Pause(ctx, r.starts)
	store.Follow(ctx, r.store, store.Watching{Kind: Kind, Rest: r.rest, History: r.history, Health: r.health, Log: r.log}, func(c store.Change) {
		seen(c)
		r.apply(c)
	})
}

// How long the list of nodes may lag behind. In a small fleet every node's part of the
// budgets rests on it; in a large one the few that write the ledger hear each other.
const (
	smallRest = 300 * time.Millisecond
	largeRest = time.Second
)

func (r *Registry) rest() time.Duration {
	if r.Count() > allWrite {
		return largeRest
	}
	return smallRest
}

// registerPause is the time between tries to register. The first one waits for the
// list of the nodes, which tells what an earlier life of this one left there, unless
// the whole fleet starts.
const registerPause = 500 * time.Millisecond

// spoiledPause is the time before an own entry is written anew that another writer spoiled.
const spoiledPause = 2 * time.Second

func (r *Registry) register(ctx context.Context) {
	if r.starts == 0 {
		r.AwaitListed(ctx)
	}
	for ctx.Err() == nil && !r.left.Load() {
		select {
		case <-r.spoiled: // what is written now replaces it
		default:
		}
		if err := r.write(ctx); err != nil {
			clock.Pause(ctx, registerPause)
			continue
		}
		r.log.WithField("life", r.self.Life).Info("registered")
		select {
		case <-ctx.Done():
		case <-r.spoiled:
			clock.Pause(ctx, store.Jittered(spoiledPause))
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
	o := store.Object{Kind: Kind, Name: r.self.Name, Revision: store.Revision(r.own.Load()), Data: data}
	_, err = r.store.Put(ctx, o)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	before, err := r.store.Get(ctx, Kind, r.self.Name)
	if err != nil {
		return err
	}
	if before.Revision.Number() == 0 { // it can't be read so far that it could be replaced
		return errors.CombineErrors(r.remove(ctx), errors.New("an entry of this node that can't be read was taken away"))
	}
	o.Revision = before.Revision
	_, err = r.store.Put(ctx, o)
	return err
}

// Leave takes this node off the list.
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
		fromCopy := r.at.IsOfEraBefore(c.Revision)
		r.at = c.Revision
		r.byName = map[string]Member{}
		for _, o := range c.Objects {
			r.put(o)
		}
		if fromCopy {
			r.restore()
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
	r.once.Do(func() { close(r.listed) })
}

// mostOver bounds the lives that are remembered after they left.
const mostOver = 512

// restore has this node's own entry written again where a copy of the store lacks it, or
// holds that of an earlier life.
func (r *Registry) restore() {
	own, listed := r.byName[r.self.Name]
	if listed && own.Life == r.self.Life {
		return
	}
	if !listed {
		r.own.Store(0)
	}
	r.log.WithField("life", r.self.Life).WithField("listed", own.Life).WithField("revision", r.at.Number()).WithField("era", r.at.Era()).Warn("a copy of the store lacks this node's entry: written again")
	r.rewrite()
}

func (r *Registry) gone(name string) {
	if m, known := r.byName[name]; known {
		if len(r.over) >= mostOver {
			clear(r.over)
		}
		r.over[m.Life] = true
	}
	delete(r.byName, name)
	r.faults.Gone(store.Object{Kind: Kind, Name: name})
	if name == r.self.Name {
		r.own.Store(0)
	}
}

// put takes an entry in force. Where it can't be read its node is not known, whatever it
// said before.
func (r *Registry) put(o store.Object) {
	own := o.Name == r.self.Name
	if own {
		r.own.Store(int64(o.Revision))
	}
	m, err := memberOf(o)
	if err == nil && r.over[m.Life] && !own {
		r.log.WithField("node", m.Name).WithField("life", m.Life).WithField("revision", o.Revision.Number()).WithField("era", o.Revision.Era()).Info("entry of a life that left, back with a copy of the store: ignored")
		return
	}
	if err == nil {
		r.faults.Read(o)
		r.byName[o.Name] = m
		return
	}
	r.faults.Tell(o, "node", "no node", err)
	delete(r.byName, o.Name)
	if own {
		r.rewrite()
	}
}

// rewrite has this node's own entry written anew.
func (r *Registry) rewrite() {
	select {
	case r.spoiled <- struct{}{}:
	default: // it will be
	}
}

func memberOf(o store.Object) (Member, error) {
	var m Member
	if err := o.Readable(); err != nil {
		return m, err
	}
	if err := json.Unmarshal(o.Data, &m); err != nil {
		return m, errors.Wrap(err, "registration")
	}
	if m.Name == "" || m.Name != o.Name {
		return m, errors.Newf("registration of %.40q", m.Name)
	}
	return m, nil
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
	for _, tell := range r.changed {
		tell(members)
	}
}

// listedWait bounds how long a node that starts waits for the first list of the nodes.
const listedWait = time.Second

// AwaitListed returns once the nodes of the fleet were listed and taken note of, or soon.
func (r *Registry) AwaitListed(ctx context.Context) {
	timer := time.NewTimer(listedWait)
	defer timer.Stop()
	select {
	case <-r.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
