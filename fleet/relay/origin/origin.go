// Package origin tracks which software version of a service's endpoints began each stream. What two
// versions write does not fit together, and endpoints don't check it: a stream that breaks may be
// resumed, by its node or by its caller at any node, only at an endpoint of that version.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retention is how long the origin of a stream is remembered: as long as a caller may wait for it.
const Retention = time.Minute

// Stream identifies a stream of a customer at a service, over all attempts of its caller.
type Stream uint64

// StreamOf returns the stream whose first event was brought by the given call. Another customer's
// call of the same id is another stream.
func StreamOf(customer, service, call string) Stream {
	return Stream(xxhash.Sum64String(customer + "\x00" + service + "\x00" + call))
}

// Record is the origin of a stream, as nodes report it to each other.
type Record struct {
	Stream  Stream `json:"s"`
	Version string `json:"v,omitempty"` // of the software that began it
}

// Finding is what a node knows of a stream's origin. Known, Sole, Several and Unanswered are the only
// findings.
type Finding interface{ finding() }

// Known is the version that began the stream.
type Known struct{ Version string }

// Sole means that the stream is not known, and that the service has had one version only for as long
// as nodes remember.
type Sole struct{}

// Several means that the stream is not known, and that any of several versions may have begun it.
type Several struct{}

// Unanswered means that the stream is not known here, and that no other node answered.
type Unanswered struct{}

// Basis is what a finding rests on.
type Basis string

// The bases.
const (
	NoBasis        Basis = ""
	RecordHere     Basis = "record"           // of this node
	RecordOfNode   Basis = "record of a node" // that was asked
	VersionsListed Basis = "versions listed"  // within Retention, since the nodes that were asked started
)

// Evidence is a finding and what it rests on.
type Evidence struct {
	Finding
	Basis   Basis
	From    string        // the node that knew it; "": this one
	NodeAge time.Duration // of this node
}

// String names the finding, for the log.
func (e Evidence) String() string {
	switch e.Finding.(type) {
	case Known:
		return "known"
	case Sole:
		return "one version"
	case Several:
		return "several versions"
	case Unanswered:
		return "unanswered"
	}
	return ""
}

func (Known) finding()      {}
func (Sole) finding()       {}
func (Several) finding()    {}
func (Unanswered) finding() {}
