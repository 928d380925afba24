// Package settings reads the settings of one node: JSON with comments, checked
// wholly, every fault at once with its line and column.
package settings

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are a node's own; what all nodes share lies in the platform.
type Settings struct {
	Node               string   `json:"node"`               // the VM's name, unlike every other
	Zone               string   `json:"zone"`               // its availability zone
	Listen             string   `json:"listen"`             // address and port to listen on
	Advertise          string   `json:"advertise"`          // URL by which other nodes reach this one
	Platform           string   `json:"platform"`           // URL of the platform's service
	Peers              []string `json:"peers"`              // URLs of some other nodes, for starting while the platform is out
	FleetKeyFile       string   `json:"fleetKeyFile"`       // file with the key that all nodes share
	OperatorHashesFile string   `json:"operatorHashesFile"` // file with a SHA-256 in hex of each operator's key
	Slots              int      `json:"slots"`              // shares of the customers; the same on every node
	Timing             Timing   `json:"timing"`
	Limits             Limits   `json:"limits"`
	Log                Log      `json:"log"`
	Trace              Trace    `json:"trace"`
}

// Timing is how often a node does things, in milliseconds.
type Timing struct {
	BeatMs    int `json:"beatMs"`    // heartbeats to peers
	SuspectMs int `json:"suspectMs"` // silence of a peer of the zone until it is suspected
	FlushMs   int `json:"flushMs"`   // bills to the platform
	LedgerMs  int `json:"ledgerMs"`  // ledgers to the platform, where no request waits for one
	PollMs    int `json:"pollMs"`    // load reports of endpoints
	ListMs    int `json:"listMs"`    // the platform's list of VMs
	DrainMs   int `json:"drainMs"`   // how long a planned stop waits for running requests
}

// Beat is the time between heartbeats.
func (t Timing) Beat() time.Duration { return ms(t.BeatMs) }

// Suspect is the silence until a peer is suspected.
func (t Timing) Suspect() time.Duration { return ms(t.SuspectMs) }

// Flush is the time between writes to the platform.
func (t Timing) Flush() time.Duration { return ms(t.FlushMs) }

// Ledger is the time between posts of a slot's ledger.
func (t Timing) Ledger() time.Duration { return ms(t.LedgerMs) }

// Poll is the time between reads of an endpoint's load.
func (t Timing) Poll() time.Duration { return ms(t.PollMs) }

// List is the time between reads of the list of VMs.
func (t Timing) List() time.Duration { return ms(t.ListMs) }

// Drain is how long a planned stop waits.
func (t Timing) Drain() time.Duration { return ms(t.DrainMs) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Limits bound what callers send.
type Limits struct {
	BodyBytes   int `json:"bodyBytes"`
	HeaderBytes int `json:"headerBytes"`
}

// Log is how the node logs.
type Log struct {
	Format string `json:"format"` // json or text
	Level  string `json:"level"`  // debug, info, warn or error
}

// Trace is where spans go; both empty is nowhere.
type Trace struct {
	OTLPEndpoint string `json:"otlpEndpoint"` // URL of an OTLP/HTTP collector
	File         string `json:"file"`
}

// Default is what holds where the file says nothing.
func Default() Settings {
	return Settings{
		Slots:  16,
		Timing: Timing{BeatMs: 500, SuspectMs: 2000, FlushMs: 2000, LedgerMs: 2000, PollMs: 500, ListMs: 2000, DrainMs: 30_000},
		Limits: Limits{BodyBytes: 1 << 20, HeaderBytes: 64 << 10},
		Log:    Log{Format: "json", Level: "info"},
	}
}

// Load reads and checks a file of settings.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse reads and checks settings; the error is schema.Faults where the text has any.
func Parse(data []byte) (Settings, error) {
	standard, err := fields.Check(data)
	if err != nil {
		return Settings{}, err
	}
	s := Default()
	if err := json.Unmarshal(standard, &s); err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return s, nil
}

// ReadSecret reads a secret from a file that the settings name.
func ReadSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read secret")
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", errors.Newf("secret file %s is empty", path)
	}
	return secret, nil
}
