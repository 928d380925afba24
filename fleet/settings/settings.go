// Package settings reads the settings of one node, which are JSON with comments. It reports all
// faults at once, each with its line and column.
package settings

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings holds the settings of one node. What all nodes share is stored in the platform.
type Settings struct {
	Node               string   `json:"node"`               // the VM's name, unique in the fleet
	Zone               string   `json:"zone"`               // its availability zone
	Listen             string   `json:"listen"`             // address and port to listen on
	Advertise          string   `json:"advertise"`          // URL by which other nodes reach this one
	Platform           string   `json:"platform"`           // URL of the platform's service
	Peers              []string `json:"peers"`              // URLs of some other nodes, for a start while the platform is unavailable
	FleetKeyFile       string   `json:"fleetKeyFile"`       // file with the key that all nodes share
	OperatorHashesFile string   `json:"operatorHashesFile"` // file with the SHA-256 of each operator's key in hex
	Slots              int      `json:"slots"`              // number of slots of the customers; must be equal on all nodes
	Timing             Timing   `json:"timing"`
	Limits             Limits   `json:"limits"`
	Log                Log      `json:"log"`
	Trace              Trace    `json:"trace"`
}

// Timing holds the intervals and timeouts of a node, in milliseconds.
type Timing struct {
	BeatMs    int `json:"beatMs"`    // between heartbeats to peers
	SuspectMs int `json:"suspectMs"` // silence of a peer of the zone until it is suspected
	FlushMs   int `json:"flushMs"`   // between writes of bills to the platform
	LedgerMs  int `json:"ledgerMs"`  // between writes of ledgers to the platform while no request waits for one
	PollMs    int `json:"pollMs"`    // between reads of the endpoints' load
	ListMs    int `json:"listMs"`    // between reads of the platform's list of VMs
	DrainMs   int `json:"drainMs"`   // maximum time that a planned stop waits for running requests
}

// Beat returns the time between heartbeats.
func (t Timing) Beat() time.Duration { return ms(t.BeatMs) }

// Suspect returns the silence after which a peer is suspected.
func (t Timing) Suspect() time.Duration { return ms(t.SuspectMs) }

// Flush returns the time between writes of bills to the platform.
func (t Timing) Flush() time.Duration { return ms(t.FlushMs) }

// Ledger returns the time between writes of a slot's ledger.
func (t Timing) Ledger() time.Duration { return ms(t.LedgerMs) }

// Poll returns the time between reads of an endpoint's load.
func (t Timing) Poll() time.Duration { return ms(t.PollMs) }

// List returns the time between reads of the list of VMs.
func (t Timing) List() time.Duration { return ms(t.ListMs) }

// Drain returns the maximum duration of a planned stop.
func (t Timing) Drain() time.Duration { return ms(t.DrainMs) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Limits holds the maximum sizes of callers' requests, and what the node may use for all of them.
type Limits struct {
	BodyBytes   int     `json:"bodyBytes"`
	HeaderBytes int     `json:"headerBytes"`
	MemoryMB    float64 `json:"memoryMB"` // of the process; 0: GOMEMLIMIT if it is set, else the memory of the VM
	MaxFiles    int     `json:"maxFiles"` // descriptors that the process may open; 0: the limit of the process
}

// Log configures the node's log.
type Log struct {
	Format string `json:"format"` // json or text
	Level  string `json:"level"`  // debug, info, warn or error
}

// Trace configures the export of spans; if both fields are empty, none are exported.
type Trace struct {
	OTLPEndpoint string `json:"otlpEndpoint"` // URL of an OTLP/HTTP collector
	File         string `json:"file"`         // path of a file of spans
}

// Default returns the settings that apply where the file sets none.
func Default() Settings {
	return Settings{
		Slots:  16,
		Timing: Timing{BeatMs: 500, SuspectMs: 2000, FlushMs: 2000, LedgerMs: 2000, PollMs: 500, ListMs: 2000, DrainMs: 30_000},
		Limits: Limits{BodyBytes: 1 << 20, HeaderBytes: 64 << 10},
		Log:    Log{Format: "json", Level: "info"},
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes and validates settings. The error is of type schema.Faults if the text has any.
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

// ReadSecret reads a secret from a file and trims white space around it.
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
