package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

const (
	maxAdmitAttempts = 6
	maxTopUps        = 2
	claimTimeout     = 800 * time.Millisecond
	// claimNodes is how many nodes of this zone check a key, including the holder.
	// Views that differ by one node still have a node in common.
	claimNodes = 3
	// denialDuration is how long a failed top-up refuses requests with the same or a greater need.
	denialDuration = 500 * time.Millisecond
)

// Admit admits a request, returns the one that already has its key, or refuses it.
func (k *Keeper) Admit(ctx context.Context, a peer.AdmitRequest) peer.AdmitResponse {
	m := holder.Admit{At: k.Clock.Now(), Record: a.Record, Budgets: a.Budgets, Limits: a.Limits, Share: k.share(), Weight: a.Weight, CallerAttempt: a.Try}
	verdict := k.admit(ctx, m)
	k.recordVerdict(a.Record, verdict)
	return verdict
}

// share returns this node's share of every limit. An unreachable zone keeps its share.
func (k *Keeper) share() holder.Shares {
	view := k.View()
	zone := 1 / float64(max(1, len(view.Zones())))
	nodes := len(view.Reachable(k.Self.Zone, k.Clock.Now()))
	return holder.Shares{Zone: zone, Node: zone / float64(max(1, nodes))}
}

func (k *Keeper) admit(ctx context.Context, m holder.Admit) peer.AdmitResponse {
	topUps := 0
	for range maxAdmitAttempts {
		switch effect := k.handle(m).(type) {
		case holder.Admitted:
			return k.confirm(ctx, effect.Record)
		case holder.Existing:
			return peer.AdmitResponse{Existing: &effect.Record}
		case holder.Refused:
			if k.borrow(ctx, m, effect.Problem) {
				m.At = k.Clock.Now()
				continue
			}
			k.forget(ctx, m)
			return peer.AdmitResponse{Refused: effect.Problem}
		case holder.MustClaim:
			claimed, unreachable := k.claim(ctx, effect.Record)
			if claimed.Existing != nil {
				k.handle(holder.Yield{Own: effect.Record, Other: *claimed.Existing})
				return peer.AdmitResponse{Existing: claimed.Existing}
			}
			if claimed.Refused != nil {
				k.handle(holder.Deny(effect))
				return peer.AdmitResponse{Refused: claimed.Refused}
			}
			m.Claimed, m.Unreachable = true, unreachable
		case holder.Short:
			if topUps >= maxTopUps || k.isDenied(effect) {
				return k.deny(ctx, m, effect)
			}
			topUps++
			k.topUp(ctx, effect)
		}
	}
	return k.deny(ctx, m, holder.Short{})
}

func (k *Keeper) isDenied(s holder.Short) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	d, ok := k.denied[s.Budget]
	return ok && s.Need >= d.need && k.Clock.Now().Before(d.until)
}

func (k *Keeper) deny(ctx context.Context, m holder.Admit, s holder.Short) peer.AdmitResponse {
	k.mu.Lock()
	if d, ok := k.denied[s.Budget]; !ok || s.Need < d.need || !k.Clock.Now().Before(d.until) {
		k.denied[s.Budget] = denial{need: s.Need, until: k.Clock.Now().Add(denialDuration)}
	}
	k.mu.Unlock()
	k.handle(holder.Deny{Record: m.Record})
	k.forget(ctx, m)
	p := problem.New(problem.BudgetExhausted, "the worst case needs more tokens than the budget has free within reach")
	return peer.AdmitResponse{Refused: p.At(string(event.Admit), string(s.Budget))}
}

// forget removes the copies of a key whose request was refused.
func (k *Keeper) forget(ctx context.Context, m holder.Admit) {
	if m.Record.Key == "" || !m.Claimed {
		return
	}
	for _, to := range k.claimPeers(m.Record) {
		_ = k.Peers.Forget(ctx, to, peer.ForgetRequest{Key: m.Record.Key, Request: m.Record.Request})
	}
}

// confirm has a second VM store the record before the request may run.
func (k *Keeper) confirm(ctx context.Context, r holder.Record) peer.AdmitResponse {
	if r.Entry != k.Incarnation() {
		return peer.AdmitResponse{Admitted: &r}
	}
	by, fenced := k.storeAtWitness(ctx, r)
	if fenced {
		k.renewIncarnation(nil)
		return peer.AdmitResponse{Refused: problem.New(problem.NoHolder, "the holder was declared over; ask again").At(string(event.Admit), string(k.Self.Node))}
	}
	r = r.WithWitness(by)
	k.handle(holder.Witnessed{Request: r.Request, By: by})
	return peer.AdmitResponse{Admitted: &r}
}

// storeAtWitness stores a record at the first reachable node of the zone and returns that node,
// or "" if there is none. fenced reports whether it has fenced the record's holder.
func (k *Keeper) storeAtWitness(ctx context.Context, r holder.Record) (by ident.Incarnation, fenced bool) {
	for _, to := range k.others(r.Slot) {
		stored, err := k.Peers.Store(ctx, to, peer.StoreRequest{Records: []holder.Record{r}})
		if err != nil {
			continue
		}
		return to.Incarnation, stored.Fenced == r.Holder
	}
	return "", false
}

// claimPeers returns the nodes that are asked for a key: those that rank next for the
// slot in this zone, and the holder of the slot in every other zone.
func (k *Keeper) claimPeers(r holder.Record) []membership.Member {
	peers := k.others(r.Slot)
	peers = peers[:min(len(peers), claimNodes-1)]
	return append(peers, k.otherHolders(r.Slot)...)
}

// otherHolders returns the holders of a slot in the other zones.
func (k *Keeper) otherHolders(slot ident.Slot) []membership.Member {
	now, view := k.Clock.Now(), k.View()
	var holders []membership.Member
	for _, z := range view.Zones() {
		if rank := view.Rank(z, slot, now); z != k.Self.Zone && len(rank) > 0 {
			holders = append(holders, rank[0])
		}
	}
	return holders
}

type claimAnswer struct {
	from    membership.Member
	claimed peer.ClaimResponse
	err     error
}

// claim asks for a key in all zones concurrently. A zone without a live node in
// this node's view counts as unreachable.
func (k *Keeper) claim(ctx context.Context, r holder.Record) (peer.ClaimResponse, []ident.Zone) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	peers := k.claimPeers(r)
	answers := make([]claimAnswer, len(peers))
	var wait sync.WaitGroup
	for i, to := range peers {
		wait.Go(func() {
			claimed, err := k.Peers.Claim(ctx, to, peer.ClaimRequest{Record: r, Store: to.Zone == k.Self.Zone})
			answers[i] = claimAnswer{from: to, claimed: claimed, err: err}
		})
	}
	wait.Wait()
	return k.combine(answers)
}

// combine returns the answer that denies the key, if there is one, or else the zones that did not answer.
func (k *Keeper) combine(answers []claimAnswer) (peer.ClaimResponse, []ident.Zone) {
	reached := map[ident.Zone]bool{k.Self.Zone: true}
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		reached[a.from.Zone] = true
		if a.claimed.Existing != nil || a.claimed.Refused != nil {
			return a.claimed, nil
		}
	}
	var unreachable []ident.Zone
	for _, z := range k.View().Zones() {
		if !reached[z] {
			unreachable = append(unreachable, z)
		}
	}
	return peer.ClaimResponse{}, unreachable
}

// Claim answers another holder that claims a key.
func (k *Keeper) Claim(in peer.ClaimRequest) peer.ClaimResponse {
	switch effect := k.handle(holder.Claim{Record: in.Record, Store: in.Store, At: k.Clock.Now()}).(type) {
	case holder.Existing:
		return peer.ClaimResponse{Existing: &effect.Record}
	case holder.Refused:
		return peer.ClaimResponse{Refused: effect.Problem}
	default:
		return peer.ClaimResponse{}
	}
}

// Forget removes the copy of a key.
func (k *Keeper) Forget(in peer.ForgetRequest) {
	k.handle(holder.Forget{Key: in.Key, Request: in.Request})
}

// recordVerdict records the verdict on a request as an event.
func (k *Keeper) recordVerdict(r holder.Record, v peer.AdmitResponse) {
	e := event.Event{Request: r.Request, Step: event.Admit, Peer: string(r.Entry.Node())}
	switch {
	case v.Admitted != nil:
		e.Decision, e.Reason = "admitted", "budget "+string(v.Admitted.Budget)
		if v.Admitted.Budget == "" {
			e.Reason = "no budget needed"
		}
	case v.Existing != nil:
		e.Step, e.Decision, e.Reason = event.Claim, "joined "+string(v.Existing.Request), "the key is in use"
	case v.Refused != nil:
		e.Decision, e.Reason = "refused", string(v.Refused.Reason)+": "+v.Refused.Detail
	}
	k.Events.Add(e)
}
