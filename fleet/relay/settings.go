package relay

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
)

// Settings of one relaying node: JSON with comments. Fields that are not known
// are passed over, so that an older node reads a newer file.
type Settings struct {
	Node     string         `json:"node"`     // the VM's name, unlike every other
	Zone     string         `json:"zone"`     // its availability zone
	Listen   string         `json:"listen"`   // where callers connect, IP:PORT
	Ready    ReadySettings  `json:"ready"`    // what the balancer asks
	Peer     string         `json:"peer"`     // for datagrams between nodes, IP:PORT
	Store    string         `json:"store"`    // the platform's store, IP:PORT
	HistoryS float64        `json:"historyS"` // seconds of history that the store keeps; 0 is not known
	MemoryMB int            `json:"memoryMB"` // what the process may use; 0 is no bound
	DrainMs  int            `json:"drainMs"`  // how long a planned stop may take
	Retry    RetrySettings  `json:"retry"`    // the fleet's bound on what is sent again
	Budget   BudgetSettings `json:"budget"`   // how much of the budgets a node holds
	LogLevel string         `json:"logLevel"` // debug, info, warn or error
}

// ReadySettings say where a node answers whether it is ready.
type ReadySettings struct {
	Address string `json:"address"` // IP:PORT
	Path    string `json:"path"`
}

// RetrySettings bound what all nodes together send a second time.
type RetrySettings struct {
	Ratio   float64 `json:"ratio"`   // of a service's calls
	Slack   float64 `json:"slack"`   // calls beyond it
	WindowS float64 `json:"windowS"` // seconds over which both are counted
}

// BudgetSettings say how much of the budgets the nodes hold; 0 is the default.
type BudgetSettings struct {
	HorizonS float64 `json:"horizonS"` // seconds that holdings last at the present demand
	Exposure float64 `json:"exposure"` // of what is left of a budget, the part held at most
	First    float64 `json:"first"`    // part of a budget held before any demand is known
}

// Tuning fills in the defaults.
func (b BudgetSettings) Tuning() account.Tuning {
	t := account.DefaultTuning()
	if b.HorizonS > 0 {
		t.Horizon = time.Duration(b.HorizonS * float64(time.Second))
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
		DrainMs: 8000, LogLevel: "info",
		Ready: ReadySettings{Path: "/readyz"},
		Retry: RetrySettings{Ratio: 0.2, Slack: 20, WindowS: 10},
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

// ParseSettings reads and checks settings.
func ParseSettings(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s := DefaultSettings()
	if err := json.Unmarshal(standard, &s); err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return s, s.check()
}

func (s Settings) check() error {
	wanted := []struct{ field, value string }{
		{"node", s.Node}, {"zone", s.Zone}, {"listen", s.Listen}, {"ready.address", s.Ready.Address},
		{"peer", s.Peer}, {"store", s.Store},
	}
	var faults error
	for _, w := range wanted {
		if w.value == "" {
			faults = errors.CombineErrors(faults, errors.Newf("settings: %s is missing", w.field))
		}
	}
	return faults
}

// History is how long the store keeps its history; 0 is not known.
func (s Settings) History() time.Duration {
	return time.Duration(s.HistoryS * float64(time.Second))
}

// Drain is how long a planned stop may take.
func (s Settings) Drain() time.Duration { return time.Duration(s.DrainMs) * time.Millisecond }

// Window is the time over which retries are counted.
func (r RetrySettings) Window() time.Duration {
	return time.Duration(r.WindowS * float64(time.Second))
}
