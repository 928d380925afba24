package load

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/ctl/client"
)

const maxFaults = 10

// collector aggregates answers into the statistics of a run.
type collector struct {
	classes map[string]*Class
	tokens  map[string]int64 // of complete answers, by request
	faults  []string
}

func collect(answers <-chan answer) *collector {
	c := &collector{classes: map[string]*Class{}, tokens: map[string]int64{}}
	for a := range answers {
		c.add(a)
	}
	return c
}

func (c *collector) add(a answer) {
	name := a.entry.Service
	if a.entry.Priority != "" {
		name += "/" + a.entry.Priority
	}
	class, ok := c.classes[name]
	if !ok {
		class = newClass(name)
		c.classes[name] = class
	}
	class.Sent++
	switch {
	case a.reason != "":
		class.Refused++
		class.Refusals[a.reason]++
		return
	case !a.complete:
		class.Broken++
		if len(c.faults) < maxFaults {
			c.faults = append(c.faults, a.fault)
		}
		return
	}
	class.Complete++
	class.Tokens += a.tokens
	if a.entry.Model {
		c.tokens[a.request] = a.tokens
	}
	_ = class.first.RecordValue(a.first.Microseconds())
	_ = class.total.RecordValue(a.total.Microseconds())
	for _, d := range a.between {
		_ = class.between.RecordValue(d.Microseconds())
	}
}

func (c *collector) report(elapsed time.Duration) *Report {
	r := &Report{Elapsed: elapsed, Faults: c.faults}
	var tokens int64
	for _, class := range c.classes {
		class.First, class.Between, class.Total = quantiles(class.first), quantiles(class.between), quantiles(class.total)
		tokens += class.Tokens
		r.Classes = append(r.Classes, class)
	}
	slices.SortFunc(r.Classes, func(x, y *Class) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	r.TokensPerSec = float64(tokens) / elapsed.Seconds()
	return r
}

// checkBills compares the tokens of every complete answer with its bill.
func checkBills(ctx context.Context, o Options, c *collector, r *Report) error {
	if o.Direct || o.Info.OperatorKey == "" {
		return nil
	}
	nodes := make([]string, 0, len(o.Info.Nodes))
	for _, n := range o.Info.Nodes {
		nodes = append(nodes, n.URL)
	}
	time.Sleep(o.BillDelay)
	bills, err := client.New(nodes, o.Info.OperatorKey).Bills(ctx, "")
	if err != nil {
		return err
	}
	billed := make(map[string]int64, len(bills))
	for _, b := range bills {
		if _, duplicate := billed[string(b.Request)]; duplicate {
			r.WrongBills++
		}
		billed[string(b.Request)] = b.Tokens
	}
	for request, tokens := range c.tokens {
		r.CheckedBills++
		if billed[request] != tokens {
			r.WrongBills++
			if len(r.Faults) < maxFaults {
				r.Faults = append(r.Faults, fmt.Sprintf("request %s: the answer counts %d tokens, the bill %d", request, tokens, billed[request]))
			}
		}
	}
	return nil
}
