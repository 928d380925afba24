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
	// borrowEvery is the time between two rounds of asking for one limit.
	borrowEvery   = time.Second
	borrowTimeout = 300 * time.Millisecond
)

// borrow asks the slot's holders in the other zones for what they do not use of
// the limit that refused a request; it reports whether trying again may help.
func (k *Keeper) borrow(ctx context.Context, m holder.Admit, refused *problem.Problem) bool {
	line, ok := lo.Find(m.Limits, func(l limit.Line) bool { return l.Name == refused.Peer })
	if refused.Reason != problem.LimitReached || !ok || !k.mayAsk(line.Name) {
		return false
	}
	asked := k.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var mu sync.Mutex
	var part float64
	var wait sync.WaitGroup
	for _, to := range k.lenders(m.Record.Slot, line) {
		wait.Go(func() {
			lent, err := k.Peers.Lend(ctx, to, peer.Lending{Line: line})
			if err != nil {
				return
			}
			mu.Lock()
			part += lent.Part
			mu.Unlock()
		})
	}
	wait.Wait()
	if part <= 0 {
		return false
	}
	k.handle(holder.Borrowed{At: k.Clock.Now(), Line: line, Share: part, Until: asked.Add(holder.LoanDuration)})
	return true
}

// maxLenders bounds how many nodes are asked for a common limit.
const maxLenders = 16

// lenders are the nodes that have another part of a limit: the slot's holders of
// a customer's, and all nodes of a common one.
func (k *Keeper) lenders(slot ident.Slot, line limit.Line) []membership.Member {
	if !line.Common {
		return k.otherHolders(slot)
	}
	nodes := k.View().Live(k.Clock.Now())
	return nodes[:min(len(nodes), maxLenders)]
}

func (k *Keeper) mayAsk(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Clock.Since(k.asked[name]) < borrowEvery {
		return false
	}
	k.asked[name] = k.Clock.Now()
	return true
}

// Lend gives another zone the unused part of a limit.
func (k *Keeper) Lend(in peer.Lending) peer.Lent {
	lent, _ := k.handle(holder.Lend{At: k.Clock.Now(), Line: in.Line, Share: k.share()}).(holder.Lent)
	return peer.Lent{Part: lent.Share}
}
