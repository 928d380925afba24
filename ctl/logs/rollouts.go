package logs

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/fleet/relay/store"
)

// Messages of the log lines about rollouts.
const (
	rolloutInForce   = "rollout in force"
	rolloutDeleted   = "rollout taken away"
	rolloutInvalid   = "rollout that makes no sense: it changes nothing"
	rolloutEvidence  = "rollout watched"
	statusWritten    = "status of a rollout written"
	statusNotWritten = "status of a rollout not written"
	targetFoundBad   = "version found bad: it gets nothing"
)

// Rollout describes the course of one order to move a service, from the log lines of all nodes.
type Rollout struct {
	Service       string            `json:"service"`
	Target        string            `json:"target"` // version
	OrderRevision int64             `json:"made"`   // revision of the store at which the order was made
	FirstObserved time.Time         `json:"seen"`   // time of the first line about the order
	DurationMs    int64             `json:"durationMs"`
	State         string            `json:"state"` // latest state known to any node
	Why           string            `json:"why"`   // reason of the last status written, or why the order is invalid
	Steps         []RolloutStep     `json:"steps"`
	Answers       []RouteAnswers    `json:"answers"` // as last observed by the deciding node
	BadReports    []BadTargetReport `json:"bad"`     // reports that the target is bad, received ahead of the status
	RefusedWrites int               `json:"refused"` // status writes that did not take effect
}

// RolloutStep is one status of an order: who wrote it and why, and when nodes acted on it.
type RolloutStep struct {
	At          time.Time `json:"at"` // when it was written, or when the first node acted on it
	State       string    `json:"state"`
	Stage       string    `json:"stage"`
	Share       float64   `json:"share"`
	ElapsedMs   int64     `json:"usedMs"` // elapsed part of the order's duration
	RemainingMs int64     `json:"leftMs"` // time remaining until nothing may run on endpoints of the old version
	Writer      string    `json:"writer"` // node that wrote it; empty if that line is missing
	Why         string    `json:"why"`
	Nodes       int       `json:"nodes"`  // number of nodes that acted on it
	LastNode    string    `json:"last"`   // node that acted last
	LastDelayMs int64     `json:"lastMs"` // delay of that node after At
	revision    store.Revision
}

// RouteAnswers counts the answers and the bad answers on a route, by version.
type RouteAnswers struct {
	Route     string `json:"route"`
	Old       int64  `json:"old"`
	OldBad    int64  `json:"oldBad"`
	Target    int64  `json:"target"`
	TargetBad int64  `json:"targetBad"`
}

// BadTargetReport records when a node received that a target is bad, and from which node.
type BadTargetReport struct {
	At       time.Time `json:"at"`
	Node     string    `json:"node"`
	Reporter string    `json:"by"`
	Why      string    `json:"why"`
}

type rolloutKey struct {
	service, target string
	orderRevision   int64
}

// Rollouts returns the rollouts found in the lines, ordered by their first line.
func Rollouts(lines []Line) []Rollout {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	byKey := map[rolloutKey]*Rollout{}
	for _, l := range sorted {
		if !isRolloutLine(l) {
			continue
		}
		key := rolloutKey{service: l.text("service"), target: l.text("target"), orderRevision: l.number("made")}
		if byKey[key] == nil {
			byKey[key] = &Rollout{Service: key.service, Target: key.target, OrderRevision: key.orderRevision, FirstObserved: l.Time}
		}
		byKey[key].add(l)
	}
	all := make([]Rollout, 0, len(byKey))
	for _, r := range byKey {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Rollout) int {
		return cmp.Or(a.FirstObserved.Compare(b.FirstObserved), cmp.Compare(a.OrderRevision, b.OrderRevision), cmp.Compare(a.Service, b.Service))
	})
	return all
}

func isRolloutLine(l Line) bool {
	messages := []string{rolloutInForce, rolloutDeleted, rolloutInvalid, rolloutEvidence, statusWritten, statusNotWritten, targetFoundBad}
	return slices.Contains(messages, l.Message)
}

func (r *Rollout) add(l Line) {
	if n := l.number("durationMs"); n != 0 {
		r.DurationMs = n
	}
	switch l.Message {
	case rolloutInForce:
		r.addInForce(l)
	case rolloutDeleted:
		r.State = "taken away"
	case rolloutInvalid:
		r.State, r.Why = "without effect", l.text("fault")
	case rolloutEvidence:
		r.Answers = answersOf(l)
	case statusWritten:
		r.Answers = answersOf(l)
		r.addWrite(l)
	case statusNotWritten:
		r.RefusedWrites++
	case targetFoundBad:
		r.BadReports = append(r.BadReports, BadTargetReport{At: l.Time, Node: l.Node(), Reporter: l.text("by"), Why: l.text("why")})
	}
}

// addWrite records a status written by a node. If another node had written it first, only the refused
// write is counted, since the step comes from the line of that other node.
func (r *Rollout) addWrite(l Line) {
	if written, _ := l.Fields["written"].(bool); !written {
		r.RefusedWrites++
		return
	}
	step := r.step(l.revision("atEra", "at"))
	step.At, step.Writer, step.Why = l.Time, l.Node(), l.text("why")
	step.State, step.Stage, step.Share = l.text("toState"), l.text("toStage"), l.fraction("toShare")
	step.ElapsedMs, step.RemainingMs = l.number("atMs"), l.number("toLeftMs")
	r.State, r.Why = step.State, step.Why
}

// addInForce records that a node acts on a status from this line on.
func (r *Rollout) addInForce(l Line) {
	step := r.step(l.revision("era", "revision"))
	if step.At.IsZero() {
		step.At = l.Time
	}
	if step.State == "" {
		step.State, step.Stage, step.Share = l.text("state"), l.text("stage"), l.fraction("share")
		step.ElapsedMs, step.RemainingMs = l.number("usedMs"), l.number("leftMs")
	}
	step.Nodes++
	step.LastNode, step.LastDelayMs = l.Node(), max(l.Time.Sub(step.At).Milliseconds(), 0)
	r.State = r.Steps[len(r.Steps)-1].State
}

// step returns the step at a revision; a new one is inserted in revision order.
func (r *Rollout) step(revision store.Revision) *RolloutStep {
	i, found := slices.BinarySearchFunc(r.Steps, revision, func(s RolloutStep, at store.Revision) int { return cmp.Compare(s.revision, at) })
	if !found {
		r.Steps = slices.Insert(r.Steps, i, RolloutStep{revision: revision})
	}
	return &r.Steps[i]
}

// answersOf decodes the evidence field of a line: for each route the answers and bad answers of the old
// version, then those of the target.
func answersOf(l Line) []RouteAnswers {
	data, err := json.Marshal(l.Fields["evidence"])
	byRoute := map[string][4]int64{}
	if err != nil || json.Unmarshal(data, &byRoute) != nil {
		return nil
	}
	all := make([]RouteAnswers, 0, len(byRoute))
	for route, n := range byRoute {
		all = append(all, RouteAnswers{Route: route, Old: n[0], OldBad: n[1], Target: n[2], TargetBad: n[3]})
	}
	slices.SortFunc(all, func(a, b RouteAnswers) int { return cmp.Compare(a.Route, b.Route) })
	return all
}

// revision returns a revision of the store from two fields; earlier builds write no era.
func (l Line) revision(era, number string) store.Revision {
	return store.At(l.number(era), l.number(number))
}

// fraction returns a numeric field as a floating-point number, or 0.
func (l Line) fraction(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}
