// Package notice tracks the notices that endpoints put into their answers, about the calls that
// they want.
//
// An endpoint that is leaving ends soon, whatever its entry in the store says: the entry may be
// late or the store unavailable. The notice holds for the rest of its incarnation and for all
// nodes, and a node that receives it announces it to the others at once. New calls go there only
// if no other endpoint may take them, and only for a part of the time in which the endpoint
// still serves them.
//
// An endpoint that turns a call away may ask the node for rest. That node sends nothing until
// the rest ends, and returns with a single call. Other nodes are informed, and use the endpoint
// only if no other one may take a call.
package notice

import "time"

// Rule defines how long an endpoint that leaves may get calls.
type Rule struct {
	Serves time.Duration // after the node received the notice, if no other endpoint may take a call
}

const (
	// ReportLifetime is how long a node acts on another node's report, which may be wrong. A notice that
	// it received itself holds as long as the endpoint asked for, or for its incarnation.
	ReportLifetime = 30 * time.Second
	// entryRetention is how long a notice is kept after the endpoint's entry is gone: entries lapse
	// while the store is unavailable, and come back.
	entryRetention = 10 * time.Minute
)
