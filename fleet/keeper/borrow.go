package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/limit"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/problem"
)

const (
	// borrowInterval is the minimum time between two rounds of borrowing for one limit.
	borrowInterval = time.Second
	borrowTimeout  = 300 * time.Millisecond
)

// borrow asks other nodes for their unused shares of the limit that refused a
// request. It reports whether a retry may succeed.
func (k *Keeper) borrow(ctx context.Context, m holder.Admit, refused *problem.Problem) bool {
	line, ok := lo.Find(m.Limits, func(l limit.Line) bool { return l.Name == refused.Peer })
	if refused.Reason != problem.LimitReached || !ok || !k.mayBorrow(line.Name) {
		return false
	}
	asked := k.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var mu sync.Mutex
	var share float64
	var wait sync.WaitGroup
	for _, to := range k.lenders(m.Record.Slot, line) {
		wait.Go(func() {
			lent, err := k.Peers.Lend(ctx, to, peer.LendRequest{Line: line})
			if err != nil {
				return
			}
			mu.Lock()
			share += lent.Part
			mu.Unlock()
		})
	}
	wait.Wait()
	if share <= 0 {
		return false
	}
	k.handle(holder.Borrowed{At: k.Clock.Now(), Line: line, Share: share, Until: asked.Add(holder.LoanDuration)})
	return true
}

// maxLenders bounds how many nodes are asked for a common limit.
const maxLenders = 16

// lenders returns the nodes that have a share of a limit: the slot's holders in the other
// zones for a customer's limit, and all nodes for a common one.
func (k *Keeper) lenders(slot ident.Slot, line limit.Line) []membership.Member {
	if !line.Common {
		return k.otherHolders(slot)
	}
	nodes := k.View().Live(k.Clock.Now())
	return nodes[:min(len(nodes), maxLenders)]
}

func (k *Keeper) mayBorrow(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Clock.Since(k.borrowed[name]) < borrowInterval {
		return false
	}
	k.borrowed[name] = k.Clock.Now()
	return true
}

// Lend lends the unused share of a limit to another node.
func (k *Keeper) Lend(in peer.LendRequest) peer.LendResponse {
	lent, _ := k.handle(holder.Lend{At: k.Clock.Now(), Line: in.Line, Share: k.share()}).(holder.Lent)
	return peer.LendResponse{Part: lent.Share}
}
