package config

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

const (
	// relays is how many nodes of a zone watch the platform; the rest ask peers.
	relays = 2
	// relaySlot is the slot whose first-ranked nodes are the relays of a zone.
	relaySlot  ident.Slot = -1
	watchWait             = 10 * time.Second
	retryPause            = 500 * time.Millisecond
	// pullPause is the time between two checks for a peer with a newer revision.
	pullPause = 250 * time.Millisecond
)

// Source fetches configuration from a peer.
type Source interface {
	Head(ctx context.Context, from membership.Member) (Head, error)
	Shard(ctx context.Context, from membership.Member, hash string) (Shard, error)
}

// Follower keeps the revision in force up to date: relays watch the platform, and every node
// pulls from peers that run a newer revision.
type Follower struct {
	store   platform.Store
	loader  *Loader
	inForce *InForce
	peers   Source
	view    func() membership.State
	clock   clockwork.Clock
	shuffle func(n int, swap func(i, j int))
	after   int64 // the platform's revision up to which the watch has read
}

// NewFollower creates a Follower; shuffle randomizes the order of peers.
func NewFollower(store platform.Store, loader *Loader, inForce *InForce, peers Source, view func() membership.State, clock clockwork.Clock, shuffle func(n int, swap func(i, j int))) *Follower {
	return &Follower{store: store, loader: loader, inForce: inForce, peers: peers, view: view, clock: clock, shuffle: shuffle}
}

// IsRelay reports whether this node watches the platform for its zone.
func (f *Follower) IsRelay() bool {
	view := f.view()
	rank := view.Rank(view.Self().Zone, relaySlot, f.clock.Now())
	for _, m := range rank[:min(len(rank), relays)] {
		if m.Node == view.Self().Node {
			return true
		}
	}
	return false
}

// WatchOnce waits for one change of the head at the platform, or reads the head at once while
// no revision is in force. It returns the pause before the next call.
func (f *Follower) WatchOnce(ctx context.Context) (time.Duration, error) {
	if f.inForce.Revision() == 0 {
		return retryPause, f.Read(ctx)
	}
	if !f.IsRelay() {
		return retryPause, nil
	}
	page, err := f.store.Watch(ctx, HeadKey, f.after, watchWait)
	if err != nil {
		return retryPause, errors.Wrap(err, "watch head")
	}
	f.after = max(f.after, page.Revision)
	for _, o := range page.Objects {
		if o.Key != HeadKey { // a watch returns all keys that begin with it
			continue
		}
		head, err := DecodeHead(o.Value)
		if err != nil {
			return retryPause, err
		}
		if err := f.advance(ctx, head); err != nil {
			f.after = 0 // the shards could not be read: read the head again
			return retryPause, err
		}
	}
	return 0, nil
}

// Read reads the platform's head and puts it in force if it is newer.
func (f *Follower) Read(ctx context.Context) error {
	head, _, err := f.loader.Head(ctx)
	if err != nil {
		return err
	}
	return f.advance(ctx, head)
}

func (f *Follower) advance(ctx context.Context, head Head) error {
	return f.inForce.Advance(head, func(hash string) (Shard, error) { return f.loader.Shard(ctx, hash) })
}

// maxPulls is the maximum number of peers that one check asks.
const maxPulls = 3

// PullOnce asks peers that run a newer revision for it, those of the own zone first, until one
// succeeds. It returns the pause before the next call.
func (f *Follower) PullOnce(ctx context.Context) (time.Duration, error) {
	var err error
	newer := f.newer()
	for _, m := range newer[:min(len(newer), maxPulls)] {
		if err = f.pull(ctx, m); err == nil {
			break
		}
	}
	return pullPause, err
}

func (f *Follower) pull(ctx context.Context, from membership.Member) error {
	head, err := f.peers.Head(ctx, from)
	if err != nil {
		return err
	}
	return f.inForce.Advance(head, func(hash string) (Shard, error) { return f.peers.Shard(ctx, from, hash) })
}

// newer lists the reachable peers that run a newer revision: those of the own zone first, in
// random order otherwise.
func (f *Follower) newer() []membership.Member {
	view, now, own := f.view(), f.clock.Now(), f.inForce.Revision()
	newer := lo.Filter(view.Members(), func(m membership.Member, _ int) bool {
		status := view.StatusOf(m.Node, now)
		return m.Revision > own && (status == membership.StatusLive || status == membership.StatusLeaving)
	})
	f.shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	slices.SortStableFunc(newer, func(x, y membership.Member) int {
		near := func(m membership.Member) int { return lo.Ternary(m.Zone == view.Self().Zone, 0, 1) }
		return near(x) - near(y)
	})
	return newer
}

// Shard reads a shard from the platform.
func (l *Loader) Shard(ctx context.Context, hash string) (Shard, error) {
	o, err := l.store.Get(ctx, ShardKey(hash))
	if err != nil {
		return Shard{}, errors.Wrapf(err, "get shard %s", hash)
	}
	var s Shard
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return Shard{}, errors.Wrapf(err, "decode shard %s", hash)
	}
	return s, nil
}
