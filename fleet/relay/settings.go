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

// Settings configure a relaying node, as JSON with comments. Unknown fields are ignored, so that
// an older node can read a newer file.
type Settings struct {
	Node          string               `json:"node"`       // name of the VM, unique in the fleet
	Zone          string               `json:"zone"`       // availability zone of the VM
	Listen        string               `json:"listen"`     // address for callers, IP:PORT
	Ready         ReadySettings        `json:"ready"`      // readiness check of the balancer
	Peer          string               `json:"peer"`       // address for datagrams between nodes, IP:PORT
	Store         string               `json:"store"`      // address of the store, IP:PORT
	HistoryS      float64              `json:"historyS"`   // seconds of history that the store keeps; 0: unknown
	ContactMs     float64              `json:"contactMs"`  // ms after an outage of the store until its whole content must be in force again
	ApplyMs       float64              `json:"applyMs"`    // ms until an accepted policy must be in force
	LeavingMs     float64              `json:"leavingMs"`  // ms until a leaving endpoint must get no new work
	EvacuateMs    float64              `json:"evacuateMs"` // ms until the endpoints of an evacuated zone must get no new work; 0: zones are never evacuated
	LinkMbps      float64              `json:"linkMbps"`   // link capacity of the VM; 0: unknown
	MemoryMB      float64              `json:"memoryMB"`   // memory bound of the process; 0: none
	MaxFiles      int                  `json:"maxFiles"`   // descriptors that the process may open; 0: the limit of the process
	AnswerMB      float64              `json:"answerMB"`   // longest answer that is held until it is complete; a longer one passes as it arrives if it has a length, and fails otherwise
	DrainS        float64              `json:"drainS"`     // seconds that a planned stop may take
	Bootstrap     bool                 `json:"bootstrap"`  // the whole fleet starts for the first time
	Retry         RetrySettings        `json:"retry"`      // bound on the retries of the fleet
	Budget        BudgetSettings       `json:"budget"`     // share of the budgets that a node holds
	Cold          ColdSettings         `json:"cold"`       // bounds on calls to endpoints that have just started
	Limit         LimitSettings        `json:"limit"`      // bounds on calls to endpoints that name a limit
	Rollout       RolloutSettings      `json:"rollout"`    // bounds on calls to a bad version; without a share services are never moved to another version
	Regions       map[string]string    `json:"regions"`    // region by availability zone
	TransferCosts TransferCostSettings `json:"bytes"`      // cost of a megabyte that leaves the zone
	Disable       []string             `json:"disable"`    // disabled mechanisms, to measure their benefit
	LogLevel      string               `json:"logLevel"`   // debug, info, warn or error
	Trace         TraceSettings        `json:"trace"`
}

// TraceSettings name the destinations of spans; without one nothing is traced.
type TraceSettings struct {
	OTLPEndpoint string `json:"otlpEndpoint"` // URL of an OTLP/HTTP collector
	File         string `json:"file"`         // one JSON object for each span
}

// ReadySettings configure the readiness check of a node.
type ReadySettings struct {
	Address string  `json:"address"` // IP:PORT
	Path    string  `json:"path"`
	NoticeS float64 `json:"noticeS"` // seconds until the balancer has certainly noticed that a node is not ready
}

// RetrySettings bound the retries of all nodes together.
type RetrySettings struct {
	Ratio   float64 `json:"ratio"`   // of a service's calls
	Slack   float64 `json:"slack"`   // calls beyond the ratio
	WindowS float64 `json:"windowS"` // seconds over which both are counted
}

// ColdSettings bound the calls of all nodes together, within any second, to an endpoint in its
// cold start.
type ColdSettings struct {
	Overrun   float64 `json:"overrun"`   // factor on the rate that the policy allows
	Tolerance float64 `json:"tolerance"` // calls beyond that
}

// LimitSettings bound the calls of all nodes together to an endpoint that names a limit.
type LimitSettings struct {
	Overrun   float64 `json:"overrun"`   // factor on the calls that the limit allows in a window
	Tolerance float64 `json:"tolerance"` // calls beyond that
	WindowMs  float64 `json:"windowMs"`
}

// Rule returns the settings as a limit.Rule.
func (l LimitSettings) Rule() limit.Rule {
	return limit.Rule{Overrun: l.Overrun, Tolerance: l.Tolerance, Window: time.Duration(l.WindowMs * float64(time.Millisecond))}
}

// TransferCostSettings set the cost of a megabyte in prompt tokens: the value of a prompt with that many
// tokens to the deployment. 0 is the default.
type TransferCostSettings struct {
	ZoneTokens   float64 `json:"zoneTokens"`   // to another zone of the region
	RegionTokens float64 `json:"regionTokens"` // to another region
}

// RolloutSettings bound the calls of all nodes together to a bad version that a service is moved
// to.
type RolloutSettings struct {
	Share      float64 `json:"share"`      // of the service's calls from the order to its end; 0: services are never moved
	Tolerance  float64 `json:"tolerance"`  // calls beyond that
	RollbackMs float64 `json:"rollbackMs"` // ms after enough bad answers to show it, until the version must get no calls
}

// Rule returns the settings as a rollout.Rule.
func (r RolloutSettings) Rule() rollout.Rule {
	return rollout.Rule{Share: r.Share, Tolerance: int(r.Tolerance), Rollback: seconds(r.RollbackMs / 1000)}
}

// BudgetSettings set how much of the budgets the nodes hold; 0 is the default.
type BudgetSettings struct {
	HorizonS     float64 `json:"horizonS"` // seconds for which the holdings last at the present demand
	Exposure     float64 `json:"exposure"` // largest share held of what is left of a budget
	InitialShare float64 `json:"first"`    // share held of what is left of a budget before any demand is known
}

// Tuning returns the tuning with defaults for unset fields.
func (b BudgetSettings) Tuning() account.Tuning {
	t := account.DefaultTuning()
	if b.HorizonS > 0 {
		t.Horizon = seconds(b.HorizonS)
	}
	if b.Exposure > 0 {
		t.Exposure = b.Exposure
	}
	if b.InitialShare > 0 {
		t.First = b.InitialShare
	}
	return t
}

// DefaultSettings returns the defaults of fields that a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		AnswerMB: 4, DrainS: 8, ContactMs: 3000, ApplyMs: 2000, LeavingMs: 2000, LogLevel: "info",
		Ready:   ReadySettings{Path: "/readyz", NoticeS: 2.8}, // two probes at one a second, and the time that the second takes
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

// maxSeconds bounds every time in the settings.
const maxSeconds = 3600

// fields is the schema of the settings. Unknown fields are ignored, so that an older node can read
// a newer file.
var fields = schema.Schema{Open: true, Fields: []schema.Field{
	{Name: "node", Required: true, Text: schema.NonEmpty},
	{Name: "zone", Required: true, Text: schema.NonEmpty},
	{Name: "listen", Required: true, Text: schema.Address},
	{Name: "ready", Required: true, Fields: []schema.Field{
		{Name: "address", Required: true, Text: schema.Address},
		{Name: "path", Text: schema.NonEmpty},
		{Name: "noticeS", Number: schema.Number(0, maxSeconds)},
	}},
	{Name: "peer", Required: true, Text: schema.IPAddress},
	{Name: "store", Required: true, Text: schema.Address},
	{Name: "historyS", Number: schema.Number(0, maxSeconds)},
	{Name: "contactMs", Number: schema.Number(100, 1000*maxSeconds)},
	{Name: "applyMs", Number: schema.Number(100, 1000*maxSeconds)},
	{Name: "leavingMs", Number: schema.Number(100, 1000*maxSeconds)},
	{Name: "evacuateMs", Number: schema.Number(0, 1000*maxSeconds)},
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
		{Name: "rollbackMs", Number: schema.Number(100, 1000*maxSeconds)},
	}},
	{Name: "regions", Each: schema.NonEmpty},
	{Name: "bytes", Fields: []schema.Field{
		{Name: "zoneTokens", Number: schema.Number(0, 1<<30)},
		{Name: "regionTokens", Number: schema.Number(0, 1<<30)},
	}},
	{Name: "linkMbps", Number: schema.Number(0, 1<<20)},
	{Name: "memoryMB", Number: schema.Number(0, 1<<20)},
	{Name: "maxFiles", Number: schema.Whole(0, 1<<24)},
	{Name: "answerMB", Number: schema.Number(0.1, 1024)},
	{Name: "drainS", Number: schema.Number(0, maxSeconds)},
	{Name: "disable", List: schema.OneOf(mechanismNames()...)},
	{Name: "logLevel", Text: schema.OneOf("debug", "info", "warn", "error")},
	{Name: "trace", Fields: []schema.Field{
		{Name: "otlpEndpoint", Text: schema.OrEmpty(schema.URL)},
		{Name: "file", Text: schema.OrEmpty(schema.NonEmpty)},
	}},
	{Name: "retry", Fields: []schema.Field{
		{Name: "ratio", Number: schema.Number(0, 10)},
		{Name: "slack", Number: schema.Number(0, 1<<20)},
		{Name: "windowS", Number: schema.Number(0.1, maxSeconds)},
	}},
	{Name: "budget", Fields: []schema.Field{
		{Name: "horizonS", Number: schema.Number(0, maxSeconds)},
		{Name: "exposure", Number: schema.Number(0, 1)},
		{Name: "first", Number: schema.Number(0, 1)},
	}},
}}

// ParseSettings reads and checks settings; the error is schema.Faults if the text is invalid.
func ParseSettings(data []byte) (Settings, error) {
	standard, err := fields.Check(data)
	if err != nil {
		return Settings{}, err
	}
	s := DefaultSettings()
	return s, errors.Wrap(json.Unmarshal(standard, &s), "settings")
}

// Places returns the availability zones by their distance from the zone of the node.
func (s Settings) Places() distance.Places {
	costs := distance.None()
	if s.Choice().Distance {
		costs = distance.DefaultCosts().WithBytes(s.TransferCosts.ZoneTokens, s.TransferCosts.RegionTokens)
	}
	return distance.From(s.Zone, s.Regions, costs)
}

// History returns how long the store keeps its history; 0: unknown.
func (s Settings) History() time.Duration {
	return seconds(s.HistoryS)
}

// Contact returns how soon after an outage of the store its whole content must be in force again.
func (s Settings) Contact() time.Duration { return seconds(s.ContactMs / 1000) }

// Apply returns how soon an accepted policy must be in force.
func (s Settings) Apply() time.Duration { return seconds(s.ApplyMs / 1000) }

// LeavingLimit returns how soon a leaving endpoint must get no new work.
func (s Settings) LeavingLimit() time.Duration { return seconds(s.LeavingMs / 1000) }

// EvacuationsEnabled reports whether operators may evacuate zones.
func (s Settings) EvacuationsEnabled() bool { return s.EvacuateMs > 0 }

// EvacuationLimit returns how soon the endpoints of an evacuated zone must get no new work.
func (s Settings) EvacuationLimit() time.Duration { return seconds(s.EvacuateMs / 1000) }

// RolloutsEnabled reports whether operators may order services to another version.
func (s Settings) RolloutsEnabled() bool { return s.Rollout.Share > 0 }

// Notice returns for how long a node that is about to stop still gets connections of callers.
func (s Settings) Notice() time.Duration { return seconds(s.Ready.NoticeS) }

// Drain returns how long a planned stop may take.
func (s Settings) Drain() time.Duration { return seconds(s.DrainS) }

// Window returns the time over which retries are counted.
func (r RetrySettings) Window() time.Duration {
	return seconds(r.WindowS)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
