// Package load drives a deployment with a bounded, seeded load and checks what
// comes back: latencies, refusals, whole answers, and bills against answers.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/ctl/demo"
)

// Limits of one run, so that it stops by itself.
const (
	MaxRate     = 5000
	MaxDuration = 30 * time.Minute
	maxInFlight = 4096
)

// Part is one service of the mix.
type Part struct {
	Service  string
	Weight   float64
	Model    bool
	Priority string // asked for; "" is the service's own
}

// Options of a run.
type Options struct {
	Info    demo.Info
	Rate    float64 // requests a second, all parts together
	For     time.Duration
	Mix     []Part
	Tokens  int // output tokens of a model's call
	Prompt  int // bytes of a prompt
	Prefix  int // different prompts; 0 makes every one its own
	Seed    uint64
	Direct  bool // call engines without a node between, as a baseline
	Wait    time.Duration
	Sampler func(customers int, r *rand.Rand) int // which customer asks; even when nil
}

func (o Options) check() error {
	switch {
	case o.Rate <= 0 || o.Rate > MaxRate:
		return errors.Newf("rate %g: want over 0 and at most %d a second", o.Rate, MaxRate)
	case o.For <= 0 || o.For > MaxDuration:
		return errors.Newf("duration %s: want over 0 and at most %s", o.For, MaxDuration)
	case len(o.Mix) == 0:
		return errors.New("mix: want at least one service")
	case len(o.Info.Nodes) == 0:
		return errors.New("no node is named")
	}
	return nil
}

// Class is the figures of one part of the mix.
type Class struct {
	Name     string         `json:"name"`
	Sent     int            `json:"sent"`
	Whole    int            `json:"whole"`
	Refused  int            `json:"refused"`
	Broken   int            `json:"broken"` // ended without an end mark, or not whole
	Tokens   int64          `json:"tokens"`
	Refusals map[string]int `json:"refusals"`
	First    Quantiles      `json:"firstTokenMs"`
	Between  Quantiles      `json:"betweenTokensMs"`
	Total    Quantiles      `json:"totalMs"`

	first, between, total *hdrhistogram.Histogram
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// The histograms hold 1 microsecond to 10 minutes with 3 digits.
const (
	lowest  = 1
	highest = 600_000_000
	digits  = 3
)

func newClass(name string) *Class {
	return &Class{
		Name: name, Refusals: map[string]int{},
		first: hdrhistogram.New(lowest, highest, digits), between: hdrhistogram.New(lowest, highest, digits), total: hdrhistogram.New(lowest, highest, digits),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// Report is the figures of a run.
type Report struct {
	Classes      []*Class      `json:"classes"`
	Took         time.Duration `json:"tookNs"`
	TokensPerSec float64       `json:"tokensPerSecond"`
	// BillsChecked is how many answers were held against their bills.
	BillsChecked int `json:"billsChecked"`
	// BillsWrong is how many differ, are missing or stand twice.
	BillsWrong int      `json:"billsWrong"`
	Dropped    int      `json:"dropped"` // arrivals over the bound of calls in flight
	Faults     []string `json:"faults"`
}

// answer is what came of one call.
type answer struct {
	part    Part
	request string
	whole   bool
	reason  string // of a refusal
	fault   string
	tokens  int64
	first   time.Duration
	between []time.Duration
	total   time.Duration
}

// Run drives the deployment until the time is up and every call has ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed+1))
	answers := make(chan answer, maxInFlight)
	slots := make(chan struct{}, maxInFlight)
	collected := make(chan *collector, 1)
	go func() { collected <- collect(answers) }()
	var calls sync.WaitGroup
	start, dropped, at := time.Now(), 0, time.Duration(0)
	for at < o.For && ctx.Err() == nil {
		at += time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second))
		sleepUntil(ctx, start.Add(at))
		call := o.next(random)
		select {
		case slots <- struct{}{}:
		default:
			dropped++
			continue
		}
		calls.Go(func() {
			defer func() { <-slots }()
			answers <- call.run(ctx, client)
		})
	}
	calls.Wait()
	took := time.Since(start)
	close(answers)
	c := <-collected
	report := c.report(took)
	report.Dropped = dropped
	return report, checkBills(ctx, o, c, report)
}

func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// next draws the next call.
func (o Options) next(r *rand.Rand) call {
	var sum float64
	for _, p := range o.Mix {
		sum += p.Weight
	}
	at := r.Float64() * sum
	part := o.Mix[len(o.Mix)-1]
	for _, p := range o.Mix {
		if at -= p.Weight; at < 0 {
			part = p
			break
		}
	}
	customer := r.IntN(len(o.Info.Customers))
	if o.Sampler != nil {
		customer = o.Sampler(len(o.Info.Customers), r)
	}
	c := call{part: part, key: o.Info.Customers[customer].Key, customer: o.Info.Customers[customer].Name, tokens: o.Tokens}
	c.url = o.Info.Nodes[r.IntN(len(o.Info.Nodes))].URL
	c.direct = o.Direct
	if o.Direct {
		c.url = o.Info.Engines[r.IntN(len(o.Info.Engines))].URL
	}
	c.prompt = o.prompt(r)
	return c
}

func (o Options) prompt(r *rand.Rand) string {
	seed := r.Uint64()
	if o.Prefix > 0 {
		seed = uint64(r.IntN(o.Prefix))
	}
	letters := rand.New(rand.NewPCG(seed, o.Seed))
	text := make([]byte, max(1, o.Prompt))
	for i := range text {
		text[i] = byte('a' + letters.IntN(26))
	}
	return string(text)
}
