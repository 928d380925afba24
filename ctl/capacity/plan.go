package capacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/lynxshed/lynxshed/fleet/config"
)

// Plan is the size of the fleet that the users plan for within two years, with its settings.
type Plan struct {
	Nodes, Zones, Engines, Budgets, Customers float64
	Requests, Tokens                          float64 // per second at the peak
	Changes                                   float64 // configuration changes per day
	DeadVMs, ReplacedVMs                      float64 // per day

	// Settings of the fleet at that size.
	Slots             float64
	FlushSeconds      float64
	LedgerSeconds     float64
	BeatSeconds       float64
	BeatMembers       float64 // members in a heartbeat
	BeatTargets       float64 // nodes that each heartbeat is sent to
	LoadReports       float64 // load reports in a heartbeat
	AnswerMembers     float64 // members in the answer to a heartbeat, which holds only newer data
	AnswerLoadReports float64 // load reports in the answer
	PollSeconds       float64 // between reads of an endpoint's load
	StreamSeconds     float64 // duration of a request in seconds
	KeyedShare        float64 // share of requests with an idempotency key
	ListSeconds       float64 // between reads of the list of VMs
	Events            float64 // kept by a node
}

// Planned returns the plan that docs/CAPACITY.md describes.
func Planned() Plan {
	return Plan{
		Nodes: 390, Zones: 8, Engines: 1000, Budgets: 21_000, Customers: 1900,
		Requests: 2200, Tokens: 720_000, Changes: 1600, DeadVMs: 13, ReplacedVMs: 170,
		Slots: 512, FlushSeconds: 10, LedgerSeconds: 300, BeatSeconds: 2, BeatMembers: 9, BeatTargets: 3, LoadReports: 14,
		AnswerMembers: 4, AnswerLoadReports: 5, PollSeconds: 1, StreamSeconds: 15, KeyedShare: 0.2, ListSeconds: 5, Events: 20_000,
	}
}

// Limits that the users set on the control of a node, and limits of the platform.
const (
	coreLimit   = 0.012 // of a core
	memoryLimit = 128e6
	bytesLimit  = 23e3
	writesLimit = 400
	readsLimit  = 2000
	valueLimit  = 1 << 20
	// callBytes is the overhead of HTTP in a call and its answer.
	callBytes = 450
	// claimBytes is the size of a record in a claim, reportBytes that of a load report.
	claimBytes  = 700
	reportBytes = 100
	// headBytes is the size of a configuration head with its shards and a history of 40 edits, rowBytes
	// that of a row in a shard.
	headBytes = 12_500
	rowBytes  = 200
)

// Estimate is one row of the table of estimated costs.
type Estimate struct {
	Role, What, Formula string
	// PerRequest marks costs that grow with the requests that a node serves. All others are costs of
	// control, to which the users' limits apply.
	PerRequest bool
	Value      float64
	Unit       string
	Mechanism  string
}

// LimitUse is a limit and the estimated use of it.
type LimitUse struct {
	Limit string
	Used  float64
	Of    float64
	Unit  string
}

// derived holds the quantities that several formulas use.
type derived struct {
	nodesPerZone, requestsPerNode, budgetsPerHolder, accountsPerSlot, rows float64
	ledgerWrites, billWrites, claims, openRecords                          float64
}

func (p Plan) derive() derived {
	d := derived{
		nodesPerZone:    p.Nodes / p.Zones,
		requestsPerNode: p.Requests / p.Nodes,
		accountsPerSlot: p.Budgets / p.Slots * p.Zones,
		rows:            p.Budgets + p.Customers + p.Engines + 200,
		ledgerWrites:    p.Slots * p.Zones / p.LedgerSeconds,
		billWrites:      p.Nodes / p.FlushSeconds,
	}
	d.budgetsPerHolder = p.Budgets / d.nodesPerZone
	d.claims = d.requestsPerNode * p.KeyedShare * (p.Zones - 1 + 2)
	d.openRecords = d.requestsPerNode * (p.StreamSeconds + p.FlushSeconds) * 2
	return d
}

// Estimates returns the estimated costs at the size of the plan.
func (p Plan) Estimates(s Slopes) []Estimate {
	d := p.derive()
	beat := s.BeatBytes.At(p.BeatMembers) + s.LoadBytes.At(p.LoadReports) + callBytes + s.BeatBytes.At(p.AnswerMembers) + s.LoadBytes.At(p.AnswerLoadReports)
	callNanos := s.Call.At(claimBytes) // both sides, since each node is caller and server in turn
	polls := 2 * p.Engines / p.Nodes / p.PollSeconds
	ledgerBytes := s.LedgerBytes.At(d.accountsPerSlot)
	perNode := d.ledgerWrites / p.Nodes
	return []Estimate{
		{"entry", "calls to holders", "2 x R/N", true, d.requestsPerNode * 2, "calls/s", "admit and settle inside the zone"},
		{"entry", "choice of an endpoint", "measured at E", true, s.Choose.At(p.Engines) / 1000, "us", "routing.Table.Choose"},
		{"entry", "processor for admission and choice", "R/N x (2 calls + choice)", true, d.requestsPerNode * (2*callNanos + s.Choose.At(p.Engines)) / 1e9 * 100, "% of a core", "peer calls"},
		{"slot holder", "admission and settlement", "measured at B/(N/Z)", true, s.Admission.At(d.budgetsPerHolder) / 1000, "us", "holder.State.Handle"},
		{"slot holder", "claims of keys", "R/N x keyed x (Z+1)", true, d.claims, "calls/s", "one question to each zone and two runners-up"},
		{"slot holder", "claims of keys", "calls x (record + HTTP)", true, d.claims * (claimBytes + callBytes) / 1e3, "kB/s", "the same"},
		{"slot holder", "bills", "R/N x bytes", true, d.requestsPerNode * s.BillBytes.PerUnit / 1e3, "kB/s", "one segment each flush"},
		{"slot holder", "open and undurable records, as holder and as witness", "2 x R/N x (stream + flush)", true, s.RecordMemory.At(d.openRecords) / 1e6, "MB", "holder.State, witness.State"},
		{"slot holder", "books", "B/(N/Z) budgets", false, s.HolderMemory.At(d.budgetsPerHolder) / 1e6, "MB", "holder.State"},
		{"slot holder", "ledger of a slot", "B/S x Z accounts", false, ledgerBytes / 1e3, "kB", "ledger.Slot as JSON"},
		{"slot holder", "ledger traffic", "S x Z/ledger seconds/N x 2 x bytes", false, perNode * 2 * ledgerBytes / 1e3, "kB/s", "read and conditional write"},
		{"slot holder", "ledger processor", "updates/N x measured", false, perNode * s.LedgerTime.At(d.accountsPerSlot) / 1e9 * 100, "% of a core", "decode, apply, encode"},
		{"member", "heartbeats, sent and taken, with answers", "2 x targets x bytes/beat seconds", false, 2 * p.BeatTargets * beat / p.BeatSeconds / 1e3, "kB/s", "fixed fan-out, bounded digest"},
		{"member", "heartbeat processor", "(beats + 2 x targets calls)/beat seconds", false, (s.BeatTime.At(p.Nodes)*(1+2*p.BeatTargets) + 2*p.BeatTargets*callNanos) / p.BeatSeconds / 1e9 * 100, "% of a core", "membership.State.Handle"},
		{"engine watcher", "load reads", "2 x E/N/poll seconds", false, polls, "calls/s", "two watchers for each engine"},
		{"engine watcher", "load reads", "calls x (report + HTTP)", false, polls * (reportBytes + callBytes) / 1e3, "kB/s", "the same"},
		{"engine watcher", "processor for load reads", "calls x call", false, polls * callNanos / 1e9 * 100, "% of a core", "the same"},
		{"configuration relay", "waiting watches", "1 call in 10 s", false, 0.1, "calls/s", "two relays in each zone"},
		{"configuration relay", "heads and shards taken and handed on", "2 x changes/day x (head + shard)", false, 2 * p.Changes / 86400 * (headBytes + d.rows/config.Shards*rowBytes) / 1e3, "kB/s", "each node pulls once and serves one on average; a relay some more"},
		{"order giver", "lease renewals and orders", "1 in 7.5 s, orders only where rows change", false, 1 / 7.5, "calls/s", "orders.Giver, one in each zone"},
		{"configuration", "table and catalog in force", "rows", false, s.CatalogMemory.At(d.rows) / 1e6, "MB", "config.InForce"},
		{"configuration", "a new revision in force", "rows", false, s.CatalogTime.At(d.rows) / 1e6, "ms", "catalog.New; the whole table is indexed anew"},
		{"configuration", "processor for changes", "changes/day x measured", false, p.Changes / 86400 * s.CatalogTime.At(d.rows) / 1e9 * 100, "% of a core", "the same"},
		{"operator's tool", "events kept", "20,000 a node", false, s.EventMemory.At(p.Events) / 1e6, "MB", "event.Log, a ring"},
		{"platform", "writes", "S x Z/ledger seconds + N/flush seconds + Z/7.5", false, d.ledgerWrites + d.billWrites + p.Zones/7.5, "writes/s", "ledgers and segments; none for each request"},
		{"platform", "reads", "ledgers + N/list seconds + 2 relays x Z watches", false, d.ledgerWrites + p.Nodes/p.ListSeconds + 2*p.Zones/10, "reads/s", "before conflicts"},
		{"platform", "largest value", "a ledger", false, ledgerBytes / 1e3, "kB", "ledger.Slot"},
	}
}

// LimitUses compares the sums of the estimates with the users' limits.
func (p Plan) LimitUses(s Slopes) []LimitUse {
	var core, memory, bytes, writes, reads float64
	for _, l := range p.Estimates(s) {
		switch {
		case l.PerRequest:
		case l.Unit == "% of a core":
			core += l.Value / 100
		case l.Unit == "MB":
			memory += l.Value * 1e6
		case l.Unit == "kB/s":
			bytes += l.Value * 1e3
		case l.Unit == "writes/s":
			writes += l.Value
		case l.Unit == "reads/s":
			reads += l.Value
		}
	}
	return []LimitUse{
		{"control: processor of a node", core * 100, coreLimit * 100, "% of a core"},
		{"control: memory of a node", memory / 1e6, memoryLimit / 1e6, "MB"},
		{"control: traffic of a node", bytes / 1e3, bytesLimit / 1e3, "kB/s"},
		{"platform: writes", writes, writesLimit, "writes/s"},
		{"platform: reads", reads, readsLimit, "reads/s"},
		{"platform: largest value", s.LedgerBytes.At(p.derive().accountsPerSlot) / 1e3, valueLimit / 1e3, "kB"},
	}
}

// Write writes the tables of slopes, estimates and limits in Markdown.
func Write(w io.Writer, p Plan, s Slopes) error {
	var text strings.Builder
	text.WriteString("| slope | per | measured (size: cost) | base | each | R² |\n|---|---|---|---|---|---|\n")
	for _, x := range s.all() {
		points := make([]string, 0, len(x.Points))
		for _, point := range x.Points {
			points = append(points, fmt.Sprintf("%.0f: %.4g", point.Size, point.Cost))
		}
		fmt.Fprintf(&text, "| %s, %s | %s | %s | %.4g | %.4g | %.3f |\n", x.Name, x.Unit, x.Per, strings.Join(points, ", "), x.Base, x.PerUnit, x.RSquared)
	}
	text.WriteString("\n| role | what | grows with | formula | at the planned size | mechanism |\n|---|---|---|---|---|---|\n")
	for _, l := range p.Estimates(s) {
		grows := "the fleet"
		if l.PerRequest {
			grows = "requests"
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %.3g %s | %s |\n", l.Role, l.What, grows, l.Formula, l.Value, l.Unit, l.Mechanism)
	}
	text.WriteString("\n| limit | used | allowed | share | breaks at, times the planned size |\n|---|---|---|---|---|\n")
	for _, x := range p.LimitUses(s) {
		fmt.Fprintf(&text, "| %s | %.3g %s | %.4g %s | %.0f%% | %.1f |\n", x.Limit, x.Used, x.Unit, x.Of, x.Unit, 100*x.Used/x.Of, x.Of/x.Used)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (s Slopes) all() []Slope {
	return []Slope{
		s.Admission, s.HolderMemory, s.RecordMemory, s.LedgerBytes, s.LedgerTime, s.BillBytes, s.BeatBytes, s.BeatTime,
		s.LoadBytes, s.Choose, s.CatalogMemory, s.CatalogTime, s.EventMemory, s.Call,
	}
}
