package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

const (
	// relays is how many nodes of a zone watch the platform; the rest ask peers.
	relays = 2
	// relaySlot ranks the nodes of a zone for being relays.
	relaySlot  ident.Slot = -1
	watchWait             = 10 * time.Second
	retryPause            = 500 * time.Millisecond
	// pullPause is how often a node looks whether a peer has a newer revision.
	pullPause = 250 * time.Millisecond
)

// Source fetches configuration from a peer.
type Source interface {
	Head(ctx context.Context, from membership.Member) (Head, error)
	Shard(ctx context.Context, from membership.Member, hash string) (Shard, error)
}

// Follower keeps the revision in force up to date: relays watch the platform,
// and every node asks a peer that runs a newer revision.
type Follower struct {
	store   platform.Store
	loader  *Loader
	inForce *InForce
	peers   Source
	view    func() membership.State
	clock   clockwork.Clock
	after   int64 // the platform's revision seen by the watch
}

// NewFollower makes a follower.
func NewFollower(store platform.Store, loader *Loader, inForce *InForce, peers Source, view func() membership.State, clock clockwork.Clock) *Follower {
	return &Follower{store: store, loader: loader, inForce: inForce, peers: peers, view: view, clock: clock}
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

// WatchOnce waits for one change at the platform, or reads it at once while
// nothing is in force. It returns how long to pause before the next.
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
		head, err := DecodeHead(o.Value)
		if err != nil {
			return retryPause, err
		}
		if err := f.advance(ctx, head); err != nil {
			f.after = 0 // the shards could not be read: look at the head again
			return retryPause, err
		}
	}
	return 0, nil
}

// Read takes the platform's head.
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

// PullOnce asks the peer with the newest revision for it, and returns how long
// to pause before the next look.
func (f *Follower) PullOnce(ctx context.Context) (time.Duration, error) {
	view := f.view()
	var newest membership.Member
	for _, m := range view.Members() {
		status := view.StatusOf(m.Node, f.clock.Now())
		alive := status == membership.StatusLive || status == membership.StatusLeaving
		if alive && m.Revision > newest.Revision {
			newest = m
		}
	}
	if newest.Revision <= f.inForce.Revision() {
		return pullPause, nil
	}
	head, err := f.peers.Head(ctx, newest)
	if err != nil {
		return pullPause, err
	}
	return pullPause, f.inForce.Advance(head, func(hash string) (Shard, error) { return f.peers.Shard(ctx, newest, hash) })
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
