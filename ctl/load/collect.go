package load

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lynxshed/lynxshed/ctl/client"
)

const maxFaults = 10

// collector gathers answers to figures.
type collector struct {
	classes map[string]*Class
	tokens  map[string]int64 // of whole answers, by request
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
	name := a.part.Service
	if a.part.Priority != "" {
		name += "/" + a.part.Priority
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
	case !a.whole:
		class.Broken++
		if len(c.faults) < maxFaults {
			c.faults = append(c.faults, a.fault)
		}
		return
	}
	class.Whole++
	class.Tokens += a.tokens
	if a.part.Model {
		c.tokens[a.request] = a.tokens
	}
	_ = class.first.RecordValue(a.first.Microseconds())
	_ = class.total.RecordValue(a.total.Microseconds())
	for _, d := range a.between {
		_ = class.between.RecordValue(d.Microseconds())
	}
}

func (c *collector) report(took time.Duration) *Report {
	r := &Report{Took: took, Faults: c.faults}
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
	r.TokensPerSec = float64(tokens) / took.Seconds()
	return r
}

// checkBills holds every whole answer against its bill.
func checkBills(ctx context.Context, o Options, c *collector, r *Report) error {
	if o.Direct || o.Info.OperatorKey == "" {
		return nil
	}
	nodes := make([]string, 0, len(o.Info.Nodes))
	for _, n := range o.Info.Nodes {
		nodes = append(nodes, n.URL)
	}
	time.Sleep(o.Wait)
	bills, err := client.New(nodes, o.Info.OperatorKey).Bills(ctx, "")
	if err != nil {
		return err
	}
	billed := make(map[string]int64, len(bills))
	for _, b := range bills {
		if _, twice := billed[string(b.Request)]; twice {
			r.BillsWrong++
		}
		billed[string(b.Request)] = b.Tokens
	}
	for request, tokens := range c.tokens {
		r.BillsChecked++
		if billed[request] != tokens {
			r.BillsWrong++
			if len(r.Faults) < maxFaults {
				r.Faults = append(r.Faults, fmt.Sprintf("request %s: the answer counts %d tokens, the bill %d", request, tokens, billed[request]))
			}
		}
	}
	return nil
}
