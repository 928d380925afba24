// Package notice is what endpoints say in answers about the calls that they want, and what a node
// does by it.
//
// An endpoint that leaves ends soon, whatever the store says of it: the entry may be late, or the
// store away. It holds for the rest of its life, and for all nodes: whoever is told tells
// the others at once. New calls go there only where no other endpoint may take them, and only for a
// part of the time in which it still serves them.
//
// An endpoint that turns a call away may ask the node for rest. That node sends nothing until the end,
// and comes back by one call. Others are told, and send there what no other endpoint may
// take.
package notice

import "time"

// Rule says for how long an endpoint that leaves may get calls.
type Rule struct {
	Serves time.Duration // after a node was told, where no other endpoint may take a call
}

const (
	// Believed is for how long a node acts on another one's word: it may have been misled. What it was
	// told itself holds for as long as the endpoint said, or lives.
	Believed = 30 * time.Second
	// kept is how long after its entry went what an endpoint said is remembered: entries lapse while
	// the store is away, and come back.
	kept = 10 * time.Minute
)
