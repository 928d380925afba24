package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/dispatch"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/keeper"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

// Nodes sends requests to the nodes of the fleet, including this one.
type Nodes interface {
	Report(ctx context.Context, from membership.Member) (Report, error)
	Events(ctx context.Context, from membership.Member, id ident.Request) ([]event.Event, error)
	Drain(ctx context.Context, node membership.Member) error
}

// Desk collects the answers to operators from the platform and all reachable nodes.
type Desk struct {
	Nodes    Nodes
	Platform platform.Store
	View     func() membership.State
	SlotOf   func(ident.Customer) ident.Slot
	Clock    clockwork.Clock

	mu       sync.Mutex
	segments map[string][]bill.Bill // cache of the durable segments, which are immutable
}

// nodeAnswer is one node's report, or the error instead of it.
type nodeAnswer struct {
	member membership.Member
	report Report
	err    error
}

// ask requests a report from every known node in parallel.
func (d *Desk) ask(ctx context.Context) []nodeAnswer {
	view := d.View()
	members := append(view.Members(), view.Self())
	slices.SortFunc(members, func(x, y membership.Member) int { return cmp.Compare(x.Node, y.Node) })
	answers := make([]nodeAnswer, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			report, err := d.Nodes.Report(ctx, m)
			answers[i] = nodeAnswer{member: m, report: report, err: err}
		})
	}
	wait.Wait()
	return answers
}

func reportsOf(answers []nodeAnswer) []Report {
	return lo.FilterMap(answers, func(a nodeAnswer, _ int) (Report, bool) { return a.report, a.err == nil })
}

// Status returns the state of the fleet as the reachable nodes report it.
func (d *Desk) Status(ctx context.Context) Status {
	answers := d.ask(ctx)
	s := Status{Endpoints: []dispatch.State{}, Degraded: []Degraded{}, Events: []event.Event{}}
	for _, a := range answers {
		s.Revision = max(s.Revision, a.report.Revision, a.member.Revision)
	}
	for _, a := range answers {
		s.Nodes = append(s.Nodes, d.nodeStatus(a, s.Revision))
	}
	for _, r := range reportsOf(answers) {
		s.Events = append(s.Events, r.Events...)
		s.Degraded = append(s.Degraded, r.Degraded...)
		for _, account := range r.Stranded {
			s.Degraded = append(s.Degraded, Degraded{What: "stranded account of " + string(account.Holder), Why: account.Why, Since: account.Since})
		}
	}
	s.Endpoints = mergeEndpoints(reportsOf(answers))
	s.Degraded = append(s.Degraded, d.unreachable(answers)...)
	s.Degraded = append(s.Degraded, failedEndpoints(s.Endpoints, d)...)
	s.Degraded = lo.UniqBy(s.Degraded, func(x Degraded) string { return x.What + x.Why })
	slices.SortFunc(s.Events, func(x, y event.Event) int { return x.At.Compare(y.At) })
	s.Events = s.Events[max(0, len(s.Events)-maxStatusEvents):]
	return s
}

const maxStatusEvents = 100

func (d *Desk) nodeStatus(a nodeAnswer, newest int64) NodeStatus {
	if a.err != nil {
		return NodeStatus{
			Name: a.member.Node, Zone: a.member.Zone, State: "unreachable", Revision: a.member.Revision,
			Why: "it does not answer: " + a.err.Error(),
		}
	}
	n := NodeStatus{Name: a.report.Node, Zone: a.report.Zone, State: a.report.State, Revision: a.report.Revision}
	if n.Revision < newest {
		n.Why = fmt.Sprintf("revision %d has not reached it yet", newest)
	}
	return n
}

// unreachable lists the zones of which no node answers, and single nodes that do not.
func (d *Desk) unreachable(answers []nodeAnswer) []Degraded {
	now := d.Clock.Now()
	var degraded []Degraded
	byZone := lo.GroupBy(answers, func(a nodeAnswer) ident.Zone { return a.member.Zone })
	zones := lo.Keys(byZone)
	slices.Sort(zones)
	for _, z := range zones {
		silent := lo.Filter(byZone[z], func(a nodeAnswer, _ int) bool { return a.err != nil })
		if len(silent) == len(byZone[z]) {
			degraded = append(degraded, Degraded{What: "zone " + string(z), Why: "cut off: no node of it answers", Since: now})
			continue
		}
		for _, a := range silent {
			degraded = append(degraded, Degraded{What: "node " + string(a.member.Node), Why: "it does not answer", Since: now})
		}
	}
	return degraded
}

// failedEndpoints lists the endpoints that are down or ejected.
func failedEndpoints(states []dispatch.State, d *Desk) []Degraded {
	out := lo.Filter(states, func(s dispatch.State, _ int) bool { return s.State == "down" || s.State == "ejected" })
	return lo.Map(out, func(s dispatch.State, _ int) Degraded {
		return Degraded{What: "endpoint " + string(s.Name), Why: s.State, Since: d.Clock.Now()}
	})
}

// mergeEndpoints merges the reported states of each endpoint; reports from its own zone take
// precedence.
func mergeEndpoints(reports []Report) []dispatch.State {
	best := map[ident.Endpoint]dispatch.State{}
	near := map[ident.Endpoint]bool{}
	for _, r := range reports {
		for _, s := range r.Endpoints {
			known, ok := best[s.Name]
			switch {
			case !ok || (s.Zone == r.Zone && !near[s.Name]):
				best[s.Name] = s
			case s.Zone == r.Zone:
				known.InFlight = max(known.InFlight, s.InFlight)
				best[s.Name] = known
			}
			near[s.Name] = near[s.Name] || s.Zone == r.Zone
		}
	}
	states := lo.Values(best)
	slices.SortFunc(states, func(x, y dispatch.State) int { return cmp.Compare(x.Name, y.Name) })
	return states
}

// Budgets returns the status of budgets from the ledger and the holders' reports, or from the
// reports alone while the platform is unavailable.
func (d *Desk) Budgets(ctx context.Context, budgets []catalog.Budget) []BudgetStatus {
	reports := reportsOf(d.ask(ctx))
	stranded := lo.FlatMap(reports, func(r Report, _ int) []keeper.StrandedHolder { return r.Stranded })
	slots := map[ident.Slot]*ledger.Slot{}
	return lo.Map(budgets, func(b catalog.Budget, _ int) BudgetStatus {
		slot := d.SlotOf(b.Customer)
		if _, read := slots[slot]; !read {
			slots[slot] = d.readLedger(ctx, slot)
		}
		if slots[slot] == nil {
			return statusFromNodes(b, reports)
		}
		line, ok := slots[slot].Budget(b.Name)
		if !ok {
			line = ledger.Budget{Name: b.Name, Limit: b.Limit, Version: b.Version}
		}
		return statusFromLedger(b, line, reports, stranded)
	})
}

// readLedger reads the ledger of a slot; it returns nil while the platform is unavailable.
func (d *Desk) readLedger(ctx context.Context, slot ident.Slot) *ledger.Slot {
	o, err := d.Platform.Get(ctx, ledger.Key(slot))
	if errors.Is(err, platform.ErrNotFound) {
		return &ledger.Slot{Slot: slot}
	}
	var doc ledger.Slot
	if err != nil || json.Unmarshal(o.Value, &doc) != nil {
		return nil
	}
	return &doc
}

// Bills lists the bills of all requests, durable or not, each once. It fails while the platform
// is unavailable, so that the list is never incomplete.
func (d *Desk) Bills(ctx context.Context, budget ident.Budget) ([]bill.Bill, error) {
	reports := reportsOf(d.ask(ctx))
	page, err := d.Platform.List(ctx, keeper.BillPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list bills")
	}
	var durable []bill.Bill
	for _, o := range page.Objects {
		bills, err := d.segment(ctx, o.Key)
		if err != nil {
			return nil, err
		}
		durable = append(durable, bills...)
	}
	return mergeBills(durable, reports, budget), nil
}

// segment reads a segment of bills and caches it, since segments are immutable.
func (d *Desk) segment(ctx context.Context, key string) ([]bill.Bill, error) {
	d.mu.Lock()
	bills, ok := d.segments[key]
	d.mu.Unlock()
	if ok {
		return bills, nil
	}
	o, err := d.Platform.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrapf(err, "read bills %s", key)
	}
	var s bill.Segment
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return nil, errors.Wrapf(err, "decode bills %s", key)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.segments == nil || len(d.segments) > maxCachedSegments {
		d.segments = map[string][]bill.Bill{}
	}
	d.segments[key] = s.Bills
	return s.Bills, nil
}

const maxCachedSegments = 4096

// Explain collects the decisions on a request from all reachable nodes.
func (d *Desk) Explain(ctx context.Context, id ident.Request) Explanation {
	view := d.View()
	x := Explanation{Request: id, Events: []event.Event{}, Unreachable: []ident.Node{}}
	for _, m := range append(view.Members(), view.Self()) {
		events, err := d.Nodes.Events(ctx, m, id)
		if err != nil {
			x.Unreachable = append(x.Unreachable, m.Node)
			continue
		}
		x.Events = append(x.Events, events...)
	}
	slices.SortStableFunc(x.Events, func(a, b event.Event) int { return a.At.Compare(b.At) })
	if bills, err := d.Bills(ctx, ""); err == nil {
		if b, ok := lo.Find(bills, func(b bill.Bill) bool { return b.Request == id }); ok {
			x.Bill = &b
		}
	}
	return x
}

// Drain begins the planned stop of a node.
func (d *Desk) Drain(ctx context.Context, name ident.Node) (NodeStatus, error) {
	m, ok := d.View().Member(name)
	if !ok {
		known := lo.Map(d.View().Members(), func(m membership.Member, _ int) string { return string(m.Node) })
		return NodeStatus{}, errors.Newf("there is no node %s; there are %s", name, strings.Join(known, ", "))
	}
	if err := d.Nodes.Drain(ctx, m); err != nil {
		return NodeStatus{}, err
	}
	return NodeStatus{Name: m.Node, Zone: m.Zone, State: "leaving", Revision: m.Revision}, nil
}
