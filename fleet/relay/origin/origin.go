// Package origin tracks which software version of a service's endpoints began each stream. What two
// versions write does not fit together, and endpoints don't check it: a stream that breaks may be
// resumed, by its node or by its caller at any node, only at an endpoint of that version.
//
// A node that does not know a stream may take it for one of the only version only if it knows that
// no other version served for as long as a stream lives. A node that started more recently knows
// that from the store, where the versions of each service are kept, and while several serve also
// which of them began each stream.
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

// Finding is what is known of a stream's origin. Known, Sole, Several, Unsure and Unanswered are the
// only findings.
type Finding interface{ finding() }

// Known is the version that began the stream.
type Known struct{ Version string }

// Sole means that the stream is not known, and that the service has had one version only for as long
// as a stream lives.
type Sole struct{}

// Several means that the stream is not known, and that any of several versions may have begun it.
type Several struct{}

// Unsure means that the stream is not known, and neither are the versions that served when it began:
// who was asked started more recently, and the store has not told them.
type Unsure struct{}

// Unanswered means that the stream is not known here, and that the nodes that may know more did not
// answer.
type Unanswered struct{}

func (Known) finding()      {}
func (Sole) finding()       {}
func (Several) finding()    {}
func (Unsure) finding()     {}
func (Unanswered) finding() {}
