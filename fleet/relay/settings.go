package relay

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
	"github.com/lynxshed/lynxshed/fleet/relay/distance"
	"github.com/lynxshed/lynxshed/fleet/relay/limit"
	"github.com/lynxshed/lynxshed/fleet/relay/rollout"
	"github.com/lynxshed/lynxshed/fleet/settings/schema"
)

// Settings of one relaying node: JSON with comments. Fields that are not known
// are passed over, so that an older node reads a newer file.
type Settings struct {
	Node       string            `json:"node"`       // the VM's name, unlike every other
	Zone       string            `json:"zone"`       // its availability zone
	Listen     string            `json:"listen"`     // where callers connect, IP:PORT
	Ready      ReadySettings     `json:"ready"`      // what the balancer asks
	Peer       string            `json:"peer"`       // for datagrams between nodes, IP:PORT
	Store      string            `json:"store"`      // the platform's store, IP:PORT
	HistoryS   float64           `json:"historyS"`   // seconds of history that the store keeps; 0 is not known
	ContactMs  float64           `json:"contactMs"`  // after an outage of the store, how soon all that it says has to be in force again
	ApplyMs    float64           `json:"applyMs"`    // how soon an accepted policy has to be in force
	LeavingMs  float64           `json:"leavingMs"`  // how soon an endpoint that leaves must get no new work
	EvacuateMs float64           `json:"evacuateMs"` // how soon the endpoints of a zone that is to be emptied must get no new work; 0: zones are never emptied
	LinkMbps   float64           `json:"linkMbps"`   // of the VM; 0 is not known
	MemoryMB   float64           `json:"memoryMB"`   // what the process may use; 0 is no bound
	DrainS     float64           `json:"drainS"`     // seconds that a planned stop may take
	Bootstrap  bool              `json:"bootstrap"`  // the whole fleet starts for the first time
	Retry      RetrySettings     `json:"retry"`      // the fleet's bound on what is sent again
	Budget     BudgetSettings    `json:"budget"`     // how much of the budgets a node holds
	Cold       ColdSettings      `json:"cold"`       // bounds on what endpoints get that have just started
	Limit      LimitSettings     `json:"limit"`      // bounds on what endpoints get that name a limit
	Rollout    RolloutSettings   `json:"rollout"`    // bounds on what a bad version gets; without a share services are never moved to another version
	Regions    map[string]string `json:"regions"`    // of the availability zones, by name
	Bytes      BytesSettings     `json:"bytes"`      // what a megabyte costs that leaves the zone
	Disable    []string          `json:"disable"`    // mechanisms that are switched off, to measure what each is worth
	LogLevel   string            `json:"logLevel"`   // debug, info, warn or error
	Trace      TraceSettings     `json:"trace"`
}

// TraceSettings say where spans go; nothing is traced without.
type TraceSettings struct {
	OTLPEndpoint string `json:"otlpEndpoint"` // URL of an OTLP/HTTP collector
	File         string `json:"file"`         // one JSON object for each span
}

// ReadySettings say where a node answers whether it is ready.
type ReadySettings struct {
	Address string  `json:"address"` // IP:PORT
	Path    string  `json:"path"`
	NoticeS float64 `json:"noticeS"` // seconds until the balancer has surely noticed a node that is not ready
}

// RetrySettings bound what all nodes together send a second time.
type RetrySettings struct {
	Ratio   float64 `json:"ratio"`   // of a service's calls
	Slack   float64 `json:"slack"`   // calls beyond it
	WindowS float64 `json:"windowS"` // seconds over which both are counted
}

// ColdSettings bound what all nodes together send within any second to an endpoint
// that is slow after its start.
type ColdSettings struct {
	Overrun   float64 `json:"overrun"`   // times what the policy says that it bears
	Tolerance float64 `json:"tolerance"` // calls beyond that
}

// LimitSettings bound what all nodes together send to an endpoint that names a limit.
type LimitSettings struct {
	Overrun   float64 `json:"overrun"`   // times what the limit allows in a window
	Tolerance float64 `json:"tolerance"` // calls beyond that
	WindowMs  float64 `json:"windowMs"`
}

// Rule is the rule that the settings say.
func (l LimitSettings) Rule() limit.Rule {
	return limit.Rule{Overrun: l.Overrun, Tolerance: l.Tolerance, Window: time.Duration(l.WindowMs * float64(time.Millisecond))}
}

// BytesSettings say what a megabyte costs, in tokens of prompts: what a prompt of so many
// tokens is worth to the deployment. 0 is the default.
type BytesSettings struct {
	ZoneTokens   float64 `json:"zoneTokens"`   // to another zone of the region
	RegionTokens float64 `json:"regionTokens"` // to another region
}

// RolloutSettings bound what a bad version that a service is moved to gets from all
// nodes together.
type RolloutSettings struct {
	Share      float64 `json:"share"`      // of the service's calls from the order to its end; 0: services are never moved
	Tolerance  float64 `json:"tolerance"`  // calls beyond that
	RollbackMs float64 `json:"rollbackMs"` // after so many bad answers that it shows, how soon it must get nothing
}

// Rule is the bounds as the decision takes them.
func (r RolloutSettings) Rule() rollout.Rule {
	return rollout.Rule{Share: r.Share, Tolerance: int(r.Tolerance), Rollback: seconds(r.RollbackMs / 1000)}
}

// BudgetSettings say how much of the budgets the nodes hold; 0 is the default.
type BudgetSettings struct {
	HorizonS float64 `json:"horizonS"` // seconds that holdings last at the present demand
	Exposure float64 `json:"exposure"` // of what is left of a budget, the part held at most
	First    float64 `json:"first"`    // of what is left of a budget, the part held before any demand is known
}

// Tuning fills in the defaults.
func (b BudgetSettings) Tuning() account.Tuning {
	t := account.DefaultTuning()
	if b.HorizonS > 0 {
		t.Horizon = seconds(b.HorizonS)
	}
	if b.Exposure > 0 {
		t.Exposure = b.Exposure
	}
	if b.First > 0 {
		t.First = b.First
	}
	return t
}

// DefaultSettings hold where the file says nothing.
func DefaultSettings() Settings {
	return Settings{
		DrainS: 8, ContactMs: 3000, ApplyMs: 2000, LeavingMs: 2000, LogLevel: "info",
		Ready:   ReadySettings{Path: "/readyz", NoticeS: 2.8}, // two probes, one a second, and what the second one takes
		Retry:   RetrySettings{Ratio: 0.2, Slack: 20, WindowS: 10},
		Cold:    ColdSettings{Overrun: 1},
		Limit:   LimitSettings{Overrun: 1.5, Tolerance: 5, WindowMs: 4000},
		Rollout: RolloutSettings{RollbackMs: 5000},
	}
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return ParseSettings(data)
}

// mostSeconds bounds every time in the settings.
const mostSeconds = 3600

// fields are what the settings of a relaying node may say. Others are passed
// over, so that an older node reads a newer file.
var fields = schema.Schema{Open: true, Fields: []schema.Field{
	{Name: "node", Required: true, Text: schema.Some},
	{Name: "zone", Required: true, Text: schema.Some},
	{Name: "listen", Required: true, Text: schema.Address},
	{Name: "ready", Required: true, Fields: []schema.Field{
		{Name: "address", Required: true, Text: schema.Address},
		{Name: "path", Text: schema.Some},
		{Name: "noticeS", Number: schema.Number(0, mostSeconds)},
	}},
	{Name: "peer", Required: true, Text: schema.Address},
	{Name: "store", Required: true, Text: schema.Address},
	{Name: "historyS", Number: schema.Number(0, mostSeconds)},
	{Name: "contactMs", Number: schema.Number(100, 1000*mostSeconds)},
	{Name: "applyMs", Number: schema.Number(100, 1000*mostSeconds)},
	{Name: "leavingMs", Number: schema.Number(100, 1000*mostSeconds)},
	{Name: "evacuateMs", Number: schema.Number(0, 1000*mostSeconds)},
	{Name: "cold", Fields: []schema.Field{
		{Name: "overrun", Number: schema.Number(0, 100)},
		{Name: "tolerance", Number: schema.Number(0, 1<<20)},
	}},
	{Name: "limit", Fields: []schema.Field{
		{Name: "overrun", Number: schema.Number(1, 100)},
		{Name: "tolerance", Number: schema.Number(0, 1<<20)},
		{Name: "windowMs", Number: schema.Number(100, 9000)},
	}},
	{Name: "rollout", Fields: []schema.Field{
		{Name: "share", Number: schema.Number(0, 1)},
		{Name: "tolerance", Number: schema.Number(0, 1<<20)},
		{Name: "rollbackMs", Number: schema.Number(100, 1000*mostSeconds)},
	}},
	{Name: "regions", Each: schema.Some},
	{Name: "bytes", Fields: []schema.Field{
		{Name: "zoneTokens", Number: schema.Number(0, 1<<30)},
		{Name: "regionTokens", Number: schema.Number(0, 1<<30)},
	}},
	{Name: "linkMbps", Number: schema.Number(0, 1<<20)},
	{Name: "memoryMB", Number: schema.Number(0, 1<<20)},
	{Name: "drainS", Number: schema.Number(0, mostSeconds)},
	{Name: "disable", List: schema.OneOf(mechanismNames()...)},
	{Name: "logLevel", Text: schema.OneOf("debug", "info", "warn", "error")},
	{Name: "trace", Fields: []schema.Field{
		{Name: "otlpEndpoint", Text: schema.OrEmpty(schema.URL)},
		{Name: "file", Text: schema.OrEmpty(schema.Some)},
	}},
	{Name: "retry", Fields: []schema.Field{
		{Name: "ratio", Number: schema.Number(0, 10)},
		{Name: "slack", Number: schema.Number(0, 1<<20)},
		{Name: "windowS", Number: schema.Number(0.1, mostSeconds)},
	}},
	{Name: "budget", Fields: []schema.Field{
		{Name: "horizonS", Number: schema.Number(0, mostSeconds)},
		{Name: "exposure", Number: schema.Number(0, 1)},
		{Name: "first", Number: schema.Number(0, 1)},
	}},
}}

// ParseSettings reads and checks settings; the error is schema.Faults where the
// text has any.
func ParseSettings(data []byte) (Settings, error) {
	standard, err := fields.Check(data)
	if err != nil {
		return Settings{}, err
	}
	s := DefaultSettings()
	return s, errors.Wrap(json.Unmarshal(standard, &s), "settings")
}

// Places are the availability zones as seen from the node's own.
func (s Settings) Places() distance.Places {
	costs := distance.None()
	if s.Choice().Distance {
		costs = distance.DefaultCosts().WithBytes(s.Bytes.ZoneTokens, s.Bytes.RegionTokens)
	}
	return distance.From(s.Zone, s.Regions, costs)
}

// History is how long the store keeps its history; 0 is not known.
func (s Settings) History() time.Duration {
	return seconds(s.HistoryS)
}

// Contact is how soon after an outage of the store all that it says has to be in
// force again.
func (s Settings) Contact() time.Duration { return seconds(s.ContactMs / 1000) }

// Apply is how soon an accepted policy has to be in force.
func (s Settings) Apply() time.Duration { return seconds(s.ApplyMs / 1000) }

// EndpointDrain is how soon an endpoint that leaves must get no new work.
func (s Settings) EndpointDrain() time.Duration { return seconds(s.LeavingMs / 1000) }

// Evacuates is whether operators may want zones emptied here.
func (s Settings) Evacuates() bool { return s.EvacuateMs > 0 }

// RollsOut is whether operators may want services moved to another version here.
func (s Settings) RollsOut() bool { return s.Rollout.Share > 0 }

// Notice is how long a node that is about to stop still gets callers' connections.
func (s Settings) Notice() time.Duration { return seconds(s.Ready.NoticeS) }

// Drain is how long a planned stop may take.
func (s Settings) Drain() time.Duration { return seconds(s.DrainS) }

// Window is the time over which retries are counted.
func (r RetrySettings) Window() time.Duration {
	return seconds(r.WindowS)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
