package origin

import "time"

// Basis is what a finding rests on.
type Basis string

// The bases.
const (
	NoBasis          Basis = ""
	RecordHere       Basis = "record"               // of this node
	RecordOfNode     Basis = "record of a node"     // that was asked
	RecordInStore    Basis = "record in store"      // of a node that may have ended
	VersionsObserved Basis = "versions observed"    // by this node, for Retention or since the fleet started
	VersionsInStore  Basis = "versions in store"    // of before this node started
	VersionsInBackup Basis = "versions in a backup" // from which the store was restored, and in the entries since
	VersionsOfNode   Basis = "versions of a node"
)

// Evidence is a finding and what it rests on.
type Evidence struct {
	Finding
	Basis   Basis
	From    string        // the node that knew it; "": this one
	NodeAge time.Duration // of this node
	ListAge time.Duration // since the store confirmed this node's list of endpoints
	Others  Told          // what other nodes told, if they were asked

	Confirmed bool // the store has confirmed the versions since the stream was to be resumed
}

// String names the finding, for the log.
func (e Evidence) String() string { return Name(e.Finding) }

// Name names a finding, for the log; "" if there is none.
func Name(f Finding) string {
	switch f.(type) {
	case Known:
		return "known"
	case Sole:
		return "one version"
	case Several:
		return "several versions"
	case Unsure:
		return "unsure"
	case Unanswered:
		return "unanswered"
	}
	return ""
}

// Told is what other nodes tell of a stream's origin.
type Told struct {
	Finding
	From     string // the node that knew it, or the versions; "": none
	Alone    bool   // there is no other node
	AllZones bool   // nodes of all other zones that know the versions answered; of its own, if there is no other
	Outdated bool   // not all of these have a list of endpoints that the store confirmed lately
}

// ProvesOneVersion reports whether nodes that know the versions of the last Retention told in all zones, and
// of one version. Lists that the store has not confirmed for long, and a list of nodes that names no other,
// prove nothing.
func (t Told) ProvesOneVersion() bool {
	return t.Finding == Sole{} && t.AllZones && !t.Outdated && !t.Alone
}

// Judge returns what is known of a stream that nobody has a record of: by this node, whose knowledge
// of the versions rests on basis, and by others. This node may not have got entries that others have, and
// not have noticed that it is cut off: that one version has served counts only if others prove it, or if the
// store has confirmed it since the stream was to be resumed.
func Judge(own Finding, basis Basis, others Told, confirmed bool) Evidence {
	switch {
	case own == Several{}:
		return Evidence{Finding: own, Basis: basis}
	case others.Finding == Several{}:
		return Evidence{Finding: others.Finding, Basis: VersionsOfNode, From: others.From}
	case own == Unsure{} && others.Finding == Unsure{}:
		return Evidence{Finding: own}
	case !confirmed && !others.ProvesOneVersion():
		return Evidence{Finding: Unanswered{}}
	case own == Sole{}:
		return Evidence{Finding: own, Basis: basis}
	case others.Alone:
		return Evidence{Finding: own}
	case others.Finding == Sole{}:
		return Evidence{Finding: others.Finding, Basis: VersionsOfNode, From: others.From}
	}
	return Evidence{Finding: others.Finding}
}
