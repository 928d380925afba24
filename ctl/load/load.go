// Package load generates a bounded, seeded load on a deployment. It measures latencies and refusals, and
// checks that answers are complete and that bills match them.
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

// Limits of a run, so that it always ends.
const (
	MaxRate     = 5000
	MaxDuration = 30 * time.Minute
	maxInFlight = 4096
)

// MixEntry is one service of the mix.
type MixEntry struct {
	Service  string
	Weight   float64
	Model    bool
	Priority string // requested priority; empty means that of the service
}

// Options configure a run.
type Options struct {
	Info           demo.Info
	Rate           float64 // requests per second over the whole mix
	Duration       time.Duration
	Mix            []MixEntry
	OutputTokens   int // output tokens of a call to a model
	PromptBytes    int // length of a prompt
	Prompts        int // number of different prompts; 0 makes each prompt unique
	Seed           uint64
	Direct         bool                                  // call engines without a node in between, as a baseline
	BillDelay      time.Duration                         // between the last answer and the reading of bills
	ChooseCustomer func(customers int, r *rand.Rand) int // index of the customer of a call; uniform if nil
}

func (o Options) check() error {
	switch {
	case o.Rate <= 0 || o.Rate > MaxRate:
		return errors.Newf("rate %g: want over 0 and at most %d a second", o.Rate, MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return errors.Newf("duration %s: want over 0 and at most %s", o.Duration, MaxDuration)
	case len(o.Mix) == 0:
		return errors.New("mix: want at least one service")
	case len(o.Info.Nodes) == 0:
		return errors.New("no node is named")
	}
	return nil
}

// Class holds the statistics of one entry of the mix.
type Class struct {
	Name     string         `json:"name"`
	Sent     int            `json:"sent"`
	Complete int            `json:"whole"`
	Refused  int            `json:"refused"`
	Broken   int            `json:"broken"` // ended without an end marker, or incomplete
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
	minLatencyMicros  = 1
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

func newClass(name string) *Class {
	return &Class{
		Name: name, Refusals: map[string]int{},
		first: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), between: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), total: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// Report holds the statistics of a run.
type Report struct {
	Classes      []*Class      `json:"classes"`
	Elapsed      time.Duration `json:"tookNs"`
	TokensPerSec float64       `json:"tokensPerSecond"`
	// CheckedBills is the number of answers that were compared with their bills.
	CheckedBills int `json:"billsChecked"`
	// WrongBills is the number of bills that differ, are missing or occur twice.
	WrongBills int      `json:"billsWrong"`
	Dropped    int      `json:"dropped"` // arrivals above the limit of calls in flight
	Faults     []string `json:"faults"`
}

// answer is the result of one call.
type answer struct {
	entry    MixEntry
	request  string
	complete bool
	reason   string // of a refusal
	fault    string
	tokens   int64
	first    time.Duration
	between  []time.Duration
	total    time.Duration
}

// Run generates load until the duration has elapsed and all calls have ended.
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
	for at < o.Duration && ctx.Err() == nil {
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
	elapsed := time.Since(start)
	close(answers)
	c := <-collected
	report := c.report(elapsed)
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

// next draws the next call at random.
func (o Options) next(r *rand.Rand) call {
	var totalWeight float64
	for _, e := range o.Mix {
		totalWeight += e.Weight
	}
	at := r.Float64() * totalWeight
	entry := o.Mix[len(o.Mix)-1]
	for _, e := range o.Mix {
		if at -= e.Weight; at < 0 {
			entry = e
			break
		}
	}
	customer := r.IntN(len(o.Info.Customers))
	if o.ChooseCustomer != nil {
		customer = o.ChooseCustomer(len(o.Info.Customers), r)
	}
	c := call{entry: entry, key: o.Info.Customers[customer].Key, customer: o.Info.Customers[customer].Name, tokens: o.OutputTokens}
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
	if o.Prompts > 0 {
		seed = uint64(r.IntN(o.Prompts))
	}
	letters := rand.New(rand.NewPCG(seed, o.Seed))
	text := make([]byte, max(1, o.PromptBytes))
	for i := range text {
		text[i] = byte('a' + letters.IntN(26))
	}
	return string(text)
}
