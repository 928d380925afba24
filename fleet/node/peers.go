package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/operator"
	"github.com/lynxshed/lynxshed/fleet/peer"
)

// peers implements the components' calls to other nodes.
type peers struct{ caller *peer.Caller }

// Claim implements keeper.Peers.
func (p peers) Claim(ctx context.Context, to membership.Member, in peer.ClaimRequest) (peer.ClaimResponse, error) {
	return peer.Call[peer.ClaimResponse](ctx, p.caller, to, peer.VerbClaim, in)
}

// Forget implements keeper.Peers.
func (p peers) Forget(ctx context.Context, to membership.Member, in peer.ForgetRequest) error {
	_, err := peer.Call[peer.Nothing](ctx, p.caller, to, peer.VerbForget, in)
	return err
}

// Store implements keeper.Peers.
func (p peers) Store(ctx context.Context, to membership.Member, in peer.StoreRequest) (peer.StoreResponse, error) {
	return peer.Call[peer.StoreResponse](ctx, p.caller, to, peer.VerbStore, in)
}

// Drop implements keeper.Peers.
func (p peers) Drop(ctx context.Context, to membership.Member, in peer.DropRequest) error {
	_, err := peer.Call[peer.Nothing](ctx, p.caller, to, peer.VerbDrop, in)
	return err
}

// Fence implements keeper.Peers.
func (p peers) Fence(ctx context.Context, to membership.Member, in peer.FenceRequest) (peer.FenceResponse, error) {
	return peer.Call[peer.FenceResponse](ctx, p.caller, to, peer.VerbFence, in)
}

// Surrender implements keeper.Peers.
func (p peers) Surrender(ctx context.Context, to membership.Member, in peer.SurrenderRequest) (peer.SurrenderResponse, error) {
	return peer.Call[peer.SurrenderResponse](ctx, p.caller, to, peer.VerbSurrender, in)
}

// Lend implements keeper.Peers.
func (p peers) Lend(ctx context.Context, to membership.Member, in peer.LendRequest) (peer.LendResponse, error) {
	return peer.Call[peer.LendResponse](ctx, p.caller, to, peer.VerbLend, in)
}

// HandOver implements keeper.Peers.
func (p peers) HandOver(ctx context.Context, to membership.Member, in peer.HandOver) error {
	_, err := peer.Call[peer.Nothing](ctx, p.caller, to, peer.VerbHandOver, in)
	return err
}

// Head implements config.Source.
func (p peers) Head(ctx context.Context, from membership.Member) (config.Head, error) {
	answer, err := peer.Call[peer.HeadResponse](ctx, p.caller, from, peer.VerbHead, peer.Nothing{})
	return answer.Head, err
}

// Shard implements config.Source.
func (p peers) Shard(ctx context.Context, from membership.Member, hash string) (config.Shard, error) {
	answer, err := peer.Call[peer.ShardResponse](ctx, p.caller, from, peer.VerbShard, peer.ShardRequest{Hash: hash})
	if err == nil && !answer.Found {
		err = errors.Newf("step %s, peer %s: shard %s not found", peer.VerbShard, from.Node, hash)
	}
	return answer.Shard, err
}

// Report implements operator.Nodes.
func (n *Node) Report(ctx context.Context, from membership.Member) (operator.Report, error) {
	if from.Node == n.self.Node {
		return n.report(), nil
	}
	return peer.Call[operator.Report](ctx, n.caller, from, peer.VerbReport, peer.Nothing{})
}

// Events implements operator.Nodes.
func (n *Node) Events(ctx context.Context, from membership.Member, id ident.Request) ([]event.Event, error) {
	if from.Node == n.self.Node {
		return n.events.ByRequest(id), nil
	}
	answer, err := peer.Call[peer.EventsResponse](ctx, n.caller, from, peer.VerbEvents, peer.EventsRequest{Request: id})
	return answer.Events, err
}

// Drain implements operator.Nodes.
func (n *Node) Drain(ctx context.Context, to membership.Member) error {
	if to.Node == n.self.Node {
		n.StartDrain()
		return nil
	}
	_, err := peer.Call[peer.Nothing](ctx, n.caller, to, peer.VerbDrain, peer.Nothing{})
	return err
}

// servePeers registers the handlers for the calls of other nodes.
func (n *Node) servePeers(s *peer.Server) {
	peer.Handle(s, peer.VerbAdmit, func(ctx context.Context, in peer.AdmitRequest) (peer.AdmitResponse, error) {
		return n.keeper.Admit(ctx, in), nil
	})
	peer.Handle(s, peer.VerbEnd, func(ctx context.Context, in peer.EndRequest) (peer.RecordLookup, error) {
		return n.keeper.End(ctx, in), nil
	})
	peer.Handle(s, peer.VerbNote, func(ctx context.Context, in peer.NoteRequest) (peer.RecordLookup, error) {
		return n.keeper.AddAttempt(ctx, in), nil
	})
	peer.Handle(s, peer.VerbTakeOver, func(_ context.Context, in peer.TakeOver) (peer.RecordLookup, error) {
		return n.keeper.TakeOver(in), nil
	})
	peer.Handle(s, peer.VerbFind, func(_ context.Context, in peer.RecordLookup) (peer.RecordLookup, error) {
		return n.keeper.Find(in.Record.Request), nil
	})
	peer.Handle(s, peer.VerbClaim, func(_ context.Context, in peer.ClaimRequest) (peer.ClaimResponse, error) {
		return n.keeper.Claim(in), nil
	})
	peer.Handle(s, peer.VerbStore, func(_ context.Context, in peer.StoreRequest) (peer.StoreResponse, error) {
		return n.keeper.Store(in), nil
	})
	peer.Handle(s, peer.VerbFence, func(_ context.Context, in peer.FenceRequest) (peer.FenceResponse, error) {
		return n.keeper.Fence(in), nil
	})
	peer.Handle(s, peer.VerbSurrender, func(ctx context.Context, in peer.SurrenderRequest) (peer.SurrenderResponse, error) {
		return n.keeper.Surrender(ctx, in), nil
	})
	peer.Handle(s, peer.VerbLend, func(_ context.Context, in peer.LendRequest) (peer.LendResponse, error) {
		return n.keeper.Lend(in), nil
	})
	peer.Handle(s, peer.VerbForget, oneWay(n.keeper.Forget))
	peer.Handle(s, peer.VerbDrop, oneWay(n.keeper.Drop))
	peer.Handle(s, peer.VerbHandOver, oneWay(n.keeper.TakeKeys))
	peer.Handle(s, peer.VerbCancel, oneWay(func(in peer.RecordLookup) { n.entry.Cancel(in.Record.Request) }))
	peer.Handle(s, peer.VerbDrain, oneWay(func(peer.Nothing) { n.StartDrain() }))
	peer.Handle(s, peer.VerbBeat, func(_ context.Context, in peer.Beat) (peer.Beat, error) {
		return n.receiveBeat(in), nil
	})
	peer.Handle(s, peer.VerbHead, func(context.Context, peer.Nothing) (peer.HeadResponse, error) {
		return peer.HeadResponse{Head: n.inForce.Snapshot().Head}, nil
	})
	peer.Handle(s, peer.VerbShard, func(_ context.Context, in peer.ShardRequest) (peer.ShardResponse, error) {
		shard, ok := n.inForce.Shard(in.Hash)
		return peer.ShardResponse{Found: ok, Shard: shard}, nil
	})
	peer.Handle(s, peer.VerbEvents, func(_ context.Context, in peer.EventsRequest) (peer.EventsResponse, error) {
		return peer.EventsResponse{Events: n.events.ByRequest(in.Request)}, nil
	})
	peer.Handle(s, peer.VerbReport, func(context.Context, peer.Nothing) (operator.Report, error) {
		return n.report(), nil
	})
	s.HandleRaw("GET /peer/runs/{id}", n.entry.ServeRun)
}

// oneWay adapts a function without a result to a handler with an empty answer.
func oneWay[In any](handle func(In)) func(context.Context, In) (peer.Nothing, error) {
	return func(_ context.Context, in In) (peer.Nothing, error) {
		handle(in)
		return peer.Nothing{}, nil
	}
}

// report returns the state of this node for operators.
func (n *Node) report() operator.Report {
	view := n.View()
	running, _ := n.entry.Active()
	r := operator.Report{
		Node:        n.self.Node,
		Zone:        n.self.Zone,
		Incarnation: n.keeper.Incarnation(),
		State:       string(view.StatusOf(n.self.Node, n.clock.Now())),
		Revision:    n.inForce.Revision(),
		Running:     running,
		Endpoints:   n.dispatch.States(n.inForce.Catalog()),
		Holdings:    n.keeper.Holding().Holdings(),
		Stranded:    n.keeper.Stranded(),
		Events:      n.events.Fleet(reportedEvents),
	}
	if h := n.platform.Health(); !h.OK {
		r.Degraded = append(r.Degraded, operator.Degraded{What: "platform from " + string(n.self.Node), Why: h.Why, Since: h.Since})
	}
	records := append(n.keeper.Holding().Records(), n.keeper.Witness().All()...)
	for _, record := range records {
		if record.Phase == holder.Settled && record.Billable() {
			r.Bills = append(r.Bills, record.Bill())
		}
	}
	return r
}

// reportedEvents is the maximum number of events in a report that belong to no request.
const reportedEvents = 30
