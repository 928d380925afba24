package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
)

const partService = "s"

func partOf(customer, id string) Fingerprint { return FingerprintOfPart(customer, partService, id) }

// promptOf returns the suspects of one call of a customer: its request, and the parts of its prompt.
func promptOf(far Progress, customer, request string, ids ...string) []Suspect {
	whole := Suspect{Fingerprint: FingerprintOf(customer, "POST", "host", "/", []byte(request)), Progress: far, Customer: customer, Route: "r"}
	all := []Suspect{whole}
	for i, id := range ids {
		part := whole
		part.Fingerprint, part.Part, part.Depth = partOf(customer, id), PartName(id), i+1
		all = append(all, part)
	}
	return all
}

// endUnderCalls ends an endpoint under calls, one second after the previous step.
func (n *node) endUnderCalls(endpoint int, calls ...[]Suspect) {
	n.now = n.now.Add(time.Second)
	e := endpointOf(endpoint, 1)
	for _, suspects := range calls {
		n.Interrupted(e, suspects, n.now)
	}
	n.Ended(e.Incarnation(), n.now)
}

// servePart serves a call with some parts of a customer.
func (n *node) servePart(customer string, ids ...string) {
	n.now = n.now.Add(100 * time.Millisecond)
	for _, id := range ids {
		n.PartAnswered(partOf(customer, id), n.now)
		n.Served(partOf(customer, id), n.now)
	}
}

// Guards against a part that goes on crashing endpoints because no two requests with it are alike, and
// against one that is quarantined for what another did.
func TestWhichPartsAreQuarantined(t *testing.T) {
	own := func(i int) string { return fmt.Sprint("request", i) }
	tests := []struct {
		name string
		play func(n *node)
		held []string // parts of customer c
		free []string
	}{
		{"each request is new", func(n *node) {
			for i := range 4 {
				n.endUnderCalls(i, promptOf(Nothing, "c", own(i), "first", "bad"))
				n.servePart("c", "first")
			}
		}, []string{"bad"}, []string{"first"}},
		{"three ends are too few", func(n *node) {
			for i := range 3 {
				n.endUnderCalls(i, promptOf(Nothing, "c", own(i), "first", "bad"))
			}
		}, nil, []string{"bad", "first"}},
		{"its answer has begun, others wait there", func(n *node) {
			for i := range 4 {
				n.endUnderCalls(i, promptOf(Begun, "c", own(i), "first", "bad"), promptOf(Nothing, "d", own(10+i), fmt.Sprint("d", i)))
			}
		}, []string{"bad"}, nil},
		{"the first part", func(n *node) {
			for i := range 4 {
				n.endUnderCalls(i, promptOf(Nothing, "c", own(i), "bad", fmt.Sprint("second", i)))
			}
		}, []string{"bad"}, []string{"second0", "second1", "second2"}},
		{"nothing of the customer is served: the later part counts", func(n *node) {
			for i := range 4 {
				n.endUnderCalls(i, promptOf(Nothing, "c", own(i), "first", "bad"))
			}
		}, []string{"bad"}, []string{"first"}},
		{"it was answered before: five ends", func(n *node) {
			n.servePart("c", "first")
			for i := range 4 {
				n.endUnderCalls(i, promptOf(Nothing, "c", own(i), "first"))
			}
		}, nil, []string{"first"}},
		{"it was answered before and does end endpoints", func(n *node) {
			n.servePart("c", "first")
			for i := range 5 {
				n.endUnderCalls(i, promptOf(Nothing, "c", own(i), "first"))
			}
		}, []string{"first"}, nil},
		{"served after each end", func(n *node) {
			for i := range 9 {
				n.endUnderCalls(i, promptOf(Nothing, "c", own(i), "first"))
				n.servePart("c", "first")
			}
		}, nil, []string{"first"}},
		{"one request explains the ends", func(n *node) {
			for i := range 3 {
				n.endUnderCalls(i, promptOf(Nothing, "c", "same", "first", "second"))
			}
		}, nil, []string{"first", "second"}},
		{"a request that is repeated, and then others with its part", func(n *node) {
			for i := range 3 {
				n.endUnderCalls(i, promptOf(Nothing, "c", "same", "first", "bad"))
				n.servePart("c", "first")
			}
			n.endUnderCalls(3, promptOf(Nothing, "c", "other", "first", "bad"))
		}, []string{"bad"}, []string{"first"}},
		{"many endpoints are lost at once", func(n *node) {
			n.now = n.now.Add(time.Second)
			for i := range 9 {
				e := endpointOf(i, 1)
				n.Interrupted(e, promptOf(Nothing, "c", own(i), "first"), n.now)
				n.Ended(e.Incarnation(), n.now)
			}
		}, nil, []string{"first"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(Peer)
			c.play(n)
			for _, id := range c.held {
				assert.True(t, n.IsQuarantined(partOf("c", id), n.now), id)
			}
			for _, id := range c.free {
				assert.False(t, n.IsQuarantined(partOf("c", id), n.now), id)
			}
		})
	}
}

// Guards against a part of one customer that is held back for another's calls, and against a known bad
// part that ends three endpoints for each customer anew.
func TestAPartIsQuarantinedForEachCustomerByItself(t *testing.T) {
	n := newNode(Peer)
	n.servePart("e", "bad")
	for i := range 4 {
		n.endUnderCalls(i, promptOf(Nothing, "c", fmt.Sprint(i), "bad"))
	}
	assert.True(t, n.IsQuarantined(partOf("c", "bad"), n.now))
	assert.False(t, n.IsQuarantined(partOf("d", "bad"), n.now))
	n.endUnderCalls(4, promptOf(Nothing, "d", "x", "bad"))
	assert.True(t, n.IsQuarantined(partOf("d", "bad"), n.now), "one end is enough")
	n.endUnderCalls(5, promptOf(Nothing, "d", "y", "other"))
	assert.False(t, n.IsQuarantined(partOf("d", "other"), n.now))
	n.endUnderCalls(6, promptOf(Nothing, "e", "z", "bad"))
	assert.False(t, n.IsQuarantined(partOf("e", "bad"), n.now), "it was answered there")
}

// Guards against a sound call that is not retried because its customer's shared part was at other ends.
func TestAnAnsweredPartForbidsNoRetry(t *testing.T) {
	n := newNode(Peer)
	n.servePart("c", "first")
	for i := range 2 {
		n.endUnderCalls(i, promptOf(Nothing, "c", fmt.Sprint(i), "first", "new"))
	}
	assert.False(t, n.ForbidsRetry(partOf("c", "first"), n.now))
	assert.True(t, n.ForbidsRetry(partOf("c", "new"), n.now))
}

// Guards against a part that stays quarantined although endpoints survive it, and against probes of one that was never answered.
func TestAQuarantinedPartIsProbedIfItWasAnswered(t *testing.T) {
	for _, answered := range []bool{true, false} {
		n := newNode(Peer)
		if answered {
			n.servePart("c", "part")
		}
		for i := range 5 {
			n.endUnderCalls(i, promptOf(Nothing, "c", fmt.Sprint(i), "part"))
		}
		h, _ := n.Lookup(partOf("c", "part"))
		assert.True(t, h.inForce(n.now))
		assert.Equal(t, "part", h.Part)
		n.now = n.ProbeAt(h)
		assert.Equal(t, answered, n.Probes(h, n.now) > 0)
		n.Served(h.Fingerprint, n.now)
		assert.False(t, n.IsQuarantined(h.Fingerprint, n.now))
	}
}

// Guards against suspects that fill a report: ends with many calls name each part once.
func TestEachPartIsNamedOnceInAnEnd(t *testing.T) {
	n := newNode(Peer)
	e := endpointOf(0, 1)
	for i := range 20 {
		n.Interrupted(e, promptOf(Underway, "c", fmt.Sprint(i), "first"), n.now)
	}
	n.Interrupted(e, promptOf(Nothing, "c", "last", "first"), n.now)
	n.Ended(e.Incarnation(), n.now)
	judges, _ := n.Updates(n.now)
	named := lo.FlatMap(judges.Ends, func(r EndReport, _ int) []Suspect {
		return lo.Filter(r.Suspects, func(s Suspect, _ int) bool { return s.isPart() })
	})
	assert.Equal(t, []Suspect{{Fingerprint: partOf("c", "first"), Part: "first", Depth: 1, Customer: "c", Route: "r"}}, named, "with the least progress")
}

// Guards against names of parts that callers choose and that fill messages.
func TestNamesOfPartsAreBounded(t *testing.T) {
	long := fmt.Sprintf("%0500d", 7)
	assert.Len(t, PartName(long), maxPartName)
	assert.Equal(t, PartName(long), PartName(long))
	assert.Equal(t, "5c1e07a2", PartName("5c1e07a2"))
}
