package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/ctl/client"
	"github.com/lynxshed/lynxshed/ctl/demo"
	"github.com/lynxshed/lynxshed/ctl/load"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	rate     float64
	loadTime time.Duration
	mix      string
	tokens   int
	prompt   int
	prefixes int
	seed     uint64
	direct   bool
}

const (
	defaultLoadRate   = 20
	defaultLoadTime   = 10 * time.Second
	defaultLoadTokens = 32
	defaultLoadPrompt = 64
	billDelay         = 300 * time.Millisecond // between the last answer and the reading of bills
)

func (a *app) loadCommand() *flaggy.Subcommand {
	a.flags.load = loadFlags{rate: defaultLoadRate, loadTime: defaultLoadTime, tokens: defaultLoadTokens, prompt: defaultLoadPrompt, seed: 1}
	f := &a.flags.load
	c := flaggy.NewSubcommand("load")
	c.Description = "a bounded load run against a deployment; bills are checked against answers"
	c.String(&a.flags.addrFile, "", "addr-file", "the demo's file of addresses and keys")
	c.Float64(&f.rate, "", "rate", "requests a second")
	c.Duration(&f.loadTime, "", "for", "how long")
	c.String(&f.mix, "", "mix", "services with weights, such as suggest=3,render/batch=1; all of the table when left out")
	c.Int(&f.tokens, "", "tokens", "output tokens of a model's answer")
	c.Int(&f.prompt, "", "prompt", "bytes of a prompt")
	c.Int(&f.prefixes, "", "prefixes", "number of different prompts; 0 makes every one its own")
	c.UInt64(&f.seed, "", "seed", "seed of the arrivals")
	c.Bool(&f.direct, "", "direct", "call the engines without a node between, as a baseline")
	return c
}

func (a *app) load() error {
	if a.flags.addrFile == "" {
		return usage("want --addr-file FILE, as the demo writes it")
	}
	data, err := os.ReadFile(a.flags.addrFile)
	if err != nil {
		return errors.Wrap(err, "read addresses")
	}
	var info demo.Info
	if err := json.Unmarshal(data, &info); err != nil {
		return errors.Wrap(err, "addresses")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	mix, err := a.mix(ctx, info)
	if err != nil {
		return err
	}
	f := a.flags.load
	report, err := load.Run(ctx, load.Options{
		Info: info, Rate: f.rate, Duration: f.loadTime, Mix: mix, OutputTokens: f.tokens, PromptBytes: f.prompt, Prompts: f.prefixes,
		Seed: f.seed, Direct: f.direct, BillDelay: billDelay,
	})
	if err != nil {
		return err
	}
	if err := a.printLoad(report); err != nil {
		return err
	}
	if broken := lo.SumBy(report.Classes, func(c *load.Class) int { return c.Broken }); broken+report.WrongBills > 0 {
		return errors.Newf("%d answers were not whole, %d bills are wrong: %v", broken, report.WrongBills, report.Faults)
	}
	return nil
}

// mix parses the --mix flag. Without it, every service of the table gets the same weight.
func (a *app) mix(ctx context.Context, info demo.Info) ([]load.MixEntry, error) {
	nodes := lo.Map(info.Nodes, func(p demo.Component, _ int) string { return p.URL })
	rows, err := client.New(nodes, info.OperatorKey).Rows(ctx, string(table.Service))
	if err != nil {
		return nil, err
	}
	models := lo.SliceToMap(rows, func(r table.Row) (string, bool) { return r.Name, r.Cells.Get(table.ColType) == "model" })
	if a.flags.load.mix == "" {
		return lo.Map(rows, func(r table.Row, _ int) load.MixEntry {
			return load.MixEntry{Service: r.Name, Weight: 1, Model: models[r.Name]}
		}), nil
	}
	var mix []load.MixEntry
	for _, text := range strings.Split(a.flags.load.mix, ",") {
		name, weight, ok := strings.Cut(text, "=")
		n, err := strconv.ParseFloat(lo.Ternary(ok, weight, "1"), 64)
		if err != nil || n < 0 {
			return nil, usage("mix %q: want SERVICE[/PRIORITY]=WEIGHT", text)
		}
		service, priority, _ := strings.Cut(name, "/")
		model, known := models[service]
		if !known {
			return nil, usage("mix %q: the table has no service %q", text, service)
		}
		mix = append(mix, load.MixEntry{Service: service, Weight: n, Model: model, Priority: priority})
	}
	return mix, nil
}

func (a *app) printLoad(r *load.Report) error {
	ms := func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
	lines := lo.Map(r.Classes, func(c *load.Class, _ int) []string {
		return []string{
			c.Name, strconv.Itoa(c.Sent), strconv.Itoa(c.Complete), strconv.Itoa(c.Refused), strconv.Itoa(c.Broken),
			ms(c.First.P50), ms(c.First.P95), ms(c.First.P99), ms(c.Between.P50), ms(c.Between.P95), ms(c.Between.P99), ms(c.Total.P95), fmt.Sprint(c.Refusals),
		}
	})
	header := []string{"SERVICE", "SENT", "WHOLE", "REFUSED", "BROKEN", "FIRST P50", "P95", "P99", "BETWEEN P50", "P95", "P99", "TOTAL P95 ms", "REFUSALS"}
	if err := a.print(r, header, lines); err != nil || a.flags.output == formatJSON {
		return err
	}
	_, err := fmt.Fprintf(a.out, "\n%.0f tokens/s over %s; %d answers held against their bills, %d wrong; %d arrivals dropped\n",
		r.TokensPerSec, r.Elapsed.Round(time.Millisecond), r.CheckedBills, r.WrongBills, r.Dropped)
	return err
}
