package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"github.com/lynxshed/lynxshed/fleet/bill"
	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/event"
	"github.com/lynxshed/lynxshed/fleet/holder"
	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/ledger"
	"github.com/lynxshed/lynxshed/fleet/membership"
	"github.com/lynxshed/lynxshed/fleet/peer"
	"github.com/lynxshed/lynxshed/fleet/routing"
	"github.com/lynxshed/lynxshed/fleet/table"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Slopes holds the measured costs of all mechanisms.
type Slopes struct {
	Admission     Slope // ns to admit and settle a request, over the budgets of a holder
	HolderMemory  Slope // bytes, over the budgets of a holder
	RecordMemory  Slope // bytes, over open records
	LedgerBytes   Slope // bytes of a ledger as JSON, over its accounts
	LedgerTime    Slope // ns to decode, update and encode a ledger, over its accounts
	BillBytes     Slope // bytes of a segment, over its bills
	BeatBytes     Slope // bytes of a heartbeat, over the members in it
	BeatTime      Slope // ns of one beat, over the members known
	LoadBytes     Slope // bytes of load reports, over reports
	Choose        Slope // ns to choose an endpoint, over engines
	CatalogMemory Slope // bytes, over rows
	CatalogTime   Slope // ns to build the catalog of a revision, over rows
	EventMemory   Slope // bytes, over events
	Call          Slope // ns of a call between nodes, both sides, over the bytes of its body
}

// Measure runs every measurement; it takes about half a minute.
func Measure() Slopes {
	return Slopes{
		Admission:     measure("admission", "ns", "budgets of a holder", []int{50, 500, 5000}, admission),
		HolderMemory:  measure("holder's books", "bytes", "budgets of a holder", []int{500, 2000, 8000}, holderMemory),
		RecordMemory:  measure("open records", "bytes", "records", []int{500, 2000, 8000}, recordMemory),
		LedgerBytes:   measure("ledger", "bytes", "accounts in a slot", []int{80, 400, 1600}, ledgerBytes),
		LedgerTime:    measure("ledger update", "ns", "accounts in a slot", []int{80, 400, 1600}, ledgerTime),
		BillBytes:     measure("bills", "bytes", "bills in a segment", []int{10, 100, 1000}, billBytes),
		BeatBytes:     measure("heartbeat", "bytes", "members in it", []int{4, 12, 24}, beatBytes),
		BeatTime:      measure("beat", "ns", "members known", []int{10, 100, 400}, beatTime),
		LoadBytes:     measure("load reports", "bytes", "reports", []int{4, 8, 16}, loadBytes),
		Choose:        measure("choice of an endpoint", "ns", "engines of a service", []int{10, 100, 1000}, choose),
		CatalogMemory: measure("catalog", "bytes", "rows", []int{1000, 4000, 16000}, catalogMemory),
		CatalogTime:   measure("revision in force", "ns", "rows", []int{1000, 4000, 16000}, catalogTime),
		EventMemory:   measure("events", "bytes", "events", []int{1000, 5000, 20000}, eventMemory),
		Call:          measure("call between nodes", "ns", "bytes of its body", []int{500, 2000, 8000}, callTime),
	}
}

const (
	largeLimit = int64(1) << 40
	tokenBound = int64(500)
)

func budgetLine(i int) holder.BudgetLine {
	return holder.BudgetLine{Name: ident.Budget(fmt.Sprintf("budget-%05d", i)), Limit: largeLimit, Version: 1}
}

// holderWithBudgets returns a holder that has drawn tokens from each budget.
func holderWithBudgets(budgets int) holder.State {
	s := holder.New("n1@1", "z")
	doc := ledger.Slot{}
	for i := range budgets {
		l := budgetLine(i)
		doc.Budgets = append(doc.Budgets, ledger.Budget{Name: l.Name, Limit: largeLimit, Version: 1, Accounts: []ledger.Account{{Holder: "n1@1", Zone: "z", Drawn: largeLimit / 2}}})
		s, _ = s.Handle(holder.Opened{At: epoch, Budgets: []holder.BudgetLine{l}})
	}
	s, _ = s.Handle(holder.Synced{At: epoch, Slot: doc})
	return s
}

func testRecord(i int) holder.Record {
	return holder.Record{
		Request: ident.NewRequest("zone-a", 0, fmt.Sprintf("01J%023d", i)), Customer: "customer-0001", Service: "suggest", Bound: tokenBound, Model: true,
		Entry: "sofia-a-2@01J00000000000000000000000", EntryURL: "http://10.0.0.1:8080", At: epoch,
		Attempts: []holder.Attempt{{Number: 1, Endpoint: "engine-0001", URL: "http://10.0.1.1:8000"}},
	}
}

func admission(budgets int) float64 {
	s, i := holderWithBudgets(budgets), 0
	return nanoseconds(func() {
		i++
		r := testRecord(i)
		s, _ = s.Handle(holder.Admit{At: epoch, Record: r, Budgets: []holder.BudgetLine{budgetLine(i % budgets)}})
		s, _ = s.Handle(holder.Settle{At: epoch, Request: r.Request, Usage: holder.Usage{Prompt: 100, Output: 200}})
		s, _ = s.Handle(holder.Durable{Requests: []ident.Request{r.Request}})
	})
}

func holderMemory(budgets int) float64 {
	return heapBytes(func() holder.State { return holderWithBudgets(budgets) })
}

func recordMemory(records int) float64 {
	s := holderWithBudgets(1)
	return heapBytes(func() holder.State {
		for i := range records {
			s, _ = s.Handle(holder.Admit{At: epoch, Record: testRecord(i), Budgets: []holder.BudgetLine{budgetLine(0)}})
		}
		return s
	})
}

// accountsPerBudget is the number of accounts in a budget: one holder in each zone.
const accountsPerBudget = 8

func ledgerOf(accounts int) ledger.Slot {
	s := ledger.Slot{Slot: 7}
	for i := range accounts / accountsPerBudget {
		b := ledger.Budget{Name: budgetLine(i).Name, Limit: 5_000_000, Version: 12, Closed: 1_234_567}
		for z := range accountsPerBudget {
			b.Accounts = append(b.Accounts, ledger.Account{
				Holder: ident.NewIncarnation(ident.Node(fmt.Sprintf("region-1-zone-%d-vm-17", z)), "01JABCDEFGHJKMNPQRSTVWXYZ0"), Zone: ident.Zone(fmt.Sprintf("zone-%d", z)),
				Drawn: 9_876_543, Returned: 1_234_567, Settled: 3_456_789, Reserved: 4_321, Rate: 123.456789, ReservationSize: 512, Segment: 54321,
			})
		}
		s.Budgets = append(s.Budgets, b)
	}
	return s
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func ledgerBytes(accounts int) float64 { return float64(len(mustEncode(ledgerOf(accounts)))) }

func ledgerTime(accounts int) float64 {
	data := mustEncode(ledgerOf(accounts))
	return nanoseconds(func() {
		var s ledger.Slot
		if err := json.Unmarshal(data, &s); err != nil {
			panic(err)
		}
		p := ledger.Post{Holder: s.Budgets[0].Accounts[0].Holder, Zone: "zone-0"}
		for _, b := range s.Budgets {
			p.Lines = append(p.Lines, ledger.Line{Budget: b.Name, Limit: b.Limit, Version: b.Version, Drawn: 9_876_543, Returned: 1_234_567, Settled: 3_456_900, DrawShare: true})
		}
		next, err := s.Apply(p)
		if err != nil {
			panic(err)
		}
		mustEncode(next)
	})
}

func billBytes(bills int) float64 {
	s := bill.Segment{Holder: "region-1-zone-1-vm-17@01JABCDEFGHJKMNPQRSTVWXYZ0"}
	for i := range bills {
		r := testRecord(i)
		r.Budget, r.Usage, r.EndedAt = "budget-00001", holder.Usage{Prompt: 123, Output: 456}, epoch
		s.Bills = append(s.Bills, r.Bill())
	}
	return float64(len(mustEncode(s)))
}

func member(i int) membership.Member {
	n := ident.Node(fmt.Sprintf("region-1-zone-%d-vm-%02d", i%8, i))
	return membership.Member{Node: n, Zone: ident.Zone(fmt.Sprintf("zone-%d", i%8)), URL: "http://10.1.2.3:8080", Incarnation: ident.NewIncarnation(n, "01JABCDEFGHJKMNPQRSTVWXYZ0"), Beat: 123456, Phase: membership.Live, Revision: 4321}
}

func beatBytes(members int) float64 {
	var b peer.Beat
	for i := range members {
		b.Members = append(b.Members, member(i))
	}
	return float64(len(mustEncode(b)))
}

func beatTime(members int) float64 {
	s := membership.New(member(0), membership.Options{})
	for i := range members {
		s, _ = s.Handle(membership.Received{At: epoch, Members: []membership.Member{member(i + 1)}})
	}
	received := membership.Received{At: epoch, Members: []membership.Member{member(1), member(2), member(3)}}
	return nanoseconds(func() {
		s, _ = s.Handle(membership.Ticked{At: epoch, Random: func(int) int { return 0 }})
		s, _ = s.Handle(received)
	})
}

func loadBytes(reports int) float64 {
	var b peer.Beat
	for range reports {
		b.Loads = append(b.Loads, peer.Load{Endpoint: "engine-0001", InFlight: 12, Queued: 3, Read: epoch.UnixMilli()})
	}
	return float64(len(mustEncode(b)))
}

func choose(engines int) float64 {
	rows := []table.Row{{Kind: table.Service, Name: "s", Version: 1, Cells: table.Cells{"type": "model"}}}
	for i := range engines {
		rows = append(rows, table.Row{Kind: table.Endpoint, Name: fmt.Sprintf("engine-%04d", i), Version: 1, Cells: table.Cells{"services": "s", "zone": fmt.Sprintf("zone-%d", i%8), "url": "http://10.0.0.1:1"}})
	}
	t := routing.New(catalog.New(1, table.New(rows...)), "zone-0", []ident.Service{"s"})
	condition := func(ident.Endpoint) routing.Condition { return routing.Condition{Limit: 16, Own: 3} }
	i := uint64(0)
	return nanoseconds(func() {
		i++
		t.Choose(routing.Query{Service: "s", Prefix: i, Random: i}, condition)
	})
}

func rows(count int) []table.Row {
	all := make([]table.Row, 0, count)
	for i := range count {
		all = append(all, table.Row{Kind: table.Budget, Name: string(budgetLine(i).Name), Version: 3, Cells: table.Cells{"customer": fmt.Sprintf("customer-%04d", i/11), "services": "*", "limitTokens": "5000000"}, Changed: map[table.Column]table.Version{"limitTokens": 3}})
	}
	return all
}

type revision struct {
	table   table.Table
	catalog *catalog.Catalog
}

func catalogMemory(count int) float64 {
	return heapBytes(func() revision {
		t := table.New(rows(count)...)
		return revision{table: t, catalog: catalog.New(1, t)}
	})
}

func catalogTime(count int) float64 {
	t := table.New(rows(count)...)
	return nanoseconds(func() { catalog.New(1, t) })
}

// callTime returns the time of one call on loopback, caller and server together.
func callTime(bytes int) float64 {
	tracer := noop.NewTracerProvider().Tracer("")
	server := peer.NewServer("key", tracer)
	peer.Handle(server, peer.VerbHandOver, func(_ context.Context, in body) (body, error) { return body{}, nil })
	listener := httptest.NewServer(server)
	defer listener.Close()
	caller := peer.NewCaller(listener.Client(), "key", tracer)
	in := body{Text: strings.Repeat("x", bytes)}
	to := membership.Member{URL: listener.URL}
	return nanoseconds(func() {
		if _, err := peer.Call[body](context.Background(), caller, to, peer.VerbHandOver, in); err != nil {
			panic(err)
		}
	})
}

type body struct {
	Text string `json:"text"`
}

func eventMemory(count int) float64 {
	return heapBytes(func() *event.Log {
		l := event.New("n1", count, func() time.Time { return epoch })
		for i := range count {
			l.Add(event.Event{Request: testRecord(i).Request, Step: event.Choose, Peer: fmt.Sprintf("engine-%04d", i%1000), Decision: "chosen", Reason: fmt.Sprintf("least loaded, before engine-%04d", i%999)})
		}
		return l
	})
}
