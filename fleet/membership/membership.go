// Package membership decides which nodes are live, from heartbeats between
// peers and the platform's lagging list of VMs.
//
// Suspicion only keeps new work away from a node. An incarnation counts as gone only on
// evidence: a newer list without the VM, or a newer incarnation in its place.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/ident"
	"github.com/lynxshed/lynxshed/fleet/platform"
)

// Phase is the state that a node announces of itself.
type Phase string

// The phases of a node.
const (
	Live    Phase = "live"
	Leaving Phase = "leaving"
	Left    Phase = "left" // has handed everything over and is about to exit
	Gone    Phase = "gone" // set by others for a gone incarnation, so that new nodes get its last state
)

// Recovery reports that a node no longer depends on a gone incarnation of its zone.
type Recovery struct {
	Gone ident.Incarnation `json:"gone"`
	// KeptBy names the other nodes that keep copies of the gone incarnation's records.
	KeptBy []ident.Incarnation `json:"keptBy,omitempty"`
}

// Recovery returns the member's report on a gone incarnation.
func (m Member) Recovery(gone ident.Incarnation) (Recovery, bool) {
	return lo.Find(m.Recovered, func(r Recovery) bool { return r.Gone == gone })
}

// Member is the known state of a node's newest incarnation.
type Member struct {
	Node        ident.Node        `json:"node"`
	Zone        ident.Zone        `json:"zone"`
	URL         string            `json:"url"`
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	Beat        int64             `json:"beat"` // increases with each heartbeat
	Phase       Phase             `json:"phase"`
	Revision    int64             `json:"revision"` // of the configuration in force there
	// Recovered lists the gone incarnations of the zone on which this node no longer
	// depends: no record of its own is known to the gone one alone, and no record of the
	// gone one is known to this node alone.
	Recovered []Recovery `json:"recovered,omitempty"`
	// Alone is set while some record of this holder is known to no other VM.
	Alone bool `json:"alone,omitempty"`
}

// newer reports whether m is a more recent state of the node than old.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation.Serial() > old.Incarnation.Serial()
	}
	return m.Beat > old.Beat
}

// Options configure heartbeats and suspicion; a zero value selects the default.
type Options struct {
	SuspectAfter    time.Duration // silence in the own zone; 2 s when zero
	FarSuspectAfter time.Duration // silence in another zone; 6 s when zero
	FanOut          int           // peers of the own zone per heartbeat round; 2 when zero
	FarFanOut       int           // peers of other zones per heartbeat round; 1 when zero
	DigestSize      int           // members in one heartbeat; 8 when zero
}

func (o Options) withDefaults() Options {
	o.SuspectAfter = cmp.Or(o.SuspectAfter, 2*time.Second)
	o.FarSuspectAfter = cmp.Or(o.FarSuspectAfter, 6*time.Second)
	o.FanOut = cmp.Or(o.FanOut, 2)
	o.FarFanOut = cmp.Or(o.FarFanOut, 1)
	o.DigestSize = cmp.Or(o.DigestSize, 8)
	return o
}

// GoneMember is a gone incarnation with its last known state.
type GoneMember struct {
	Member
	At time.Time // when this node learned of it
}

// knownMember is a member as this node knows it from heartbeats and the platform's list.
type knownMember struct {
	Member
	advanced time.Time // when a newer state was last received
	listed   bool      // the platform's list has contained it
	missing  bool      // the newest list no longer contains it
}

// State is a node's view of the fleet. It is immutable: changes return a new State.
type State struct {
	options  Options
	self     Member
	members  map[ident.Node]knownMember
	gone     map[ident.Incarnation]GoneMember
	revision int64     // of the platform's list
	ticked   time.Time // last heartbeat round
}

// New returns the view of a node that knows only itself.
func New(self Member, o Options) State {
	return State{
		options: o.withDefaults(),
		self:    self,
		members: map[ident.Node]knownMember{},
		gone:    map[ident.Incarnation]GoneMember{},
	}
}

// Self returns the node itself as a member.
func (s State) Self() Member { return s.self }

func (s State) clone() State {
	next := s
	next.members = make(map[ident.Node]knownMember, len(s.members)+1)
	for n, m := range s.members {
		next.members[n] = m
	}
	next.gone = make(map[ident.Incarnation]GoneMember, len(s.gone))
	for i, m := range s.gone {
		next.gone[i] = m
	}
	return next
}

// WithSelf returns the view with the node's own state replaced; its heartbeat counter stays.
func (s State) WithSelf(self Member) State {
	self.Beat = s.self.Beat
	s.self = self
	return s
}

// Status is a node's state as this node observes it.
type Status string

// The statuses.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
	StatusSuspect Status = "suspect"
	StatusUnknown Status = "unheard" // listed by the platform, no heartbeat received yet
)

// StatusOf returns the status of a member at a time.
func (s State) StatusOf(n ident.Node, at time.Time) Status {
	if n == s.self.Node {
		return lo.Ternary(s.self.Phase == Live, StatusLive, StatusLeaving)
	}
	m, ok := s.members[n]
	switch {
	case !ok || m.Incarnation == "":
		return StatusUnknown
	case m.Phase == Left || at.Sub(m.advanced) > s.suspectAfter(m.Zone):
		return StatusSuspect
	case m.Phase == Leaving:
		return StatusLeaving
	default:
		return StatusLive
	}
}

// suspectAfter returns the silence after which a node of a zone is suspected.
func (s State) suspectAfter(z ident.Zone) time.Duration {
	return lo.Ternary(z == s.self.Zone, s.options.SuspectAfter, s.options.FarSuspectAfter)
}

// Members lists every known node except this one, in order.
func (s State) Members() []Member {
	members := lo.MapToSlice(s.members, func(_ ident.Node, m knownMember) Member { return m.Member })
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Node, y.Node) })
	return members
}

// Live lists the other nodes of all zones that are live at a time, in order.
func (s State) Live(at time.Time) []Member {
	return lo.Filter(s.Members(), func(m Member, _ int) bool { return s.StatusOf(m.Node, at) == StatusLive })
}

// Member returns a node by its name.
func (s State) Member(n ident.Node) (Member, bool) {
	if n == s.self.Node {
		return s.self, true
	}
	m, ok := s.members[n]
	return m.Member, ok
}

// Zones lists the zones of all known nodes, in order.
func (s State) Zones() []ident.Zone {
	zones := lo.Map(s.Members(), func(m Member, _ int) ident.Zone { return m.Zone })
	zones = lo.Uniq(append(zones, s.self.Zone))
	slices.Sort(zones)
	return zones
}

// Gone reports whether there is evidence that an incarnation has ended.
func (s State) Gone(i ident.Incarnation) bool {
	if _, ok := s.gone[i]; ok {
		return true
	}
	m, ok := s.Member(i.Node())
	if !ok {
		return s.revision > 0
	}
	return m.Incarnation.Serial() > i.Serial()
}

// Last returns the last known state of an incarnation, also after it is gone.
func (s State) Last(i ident.Incarnation) (Member, bool) {
	if d, ok := s.gone[i]; ok {
		return d.Member, true
	}
	m, ok := s.Member(i.Node())
	return m, ok && m.Incarnation == i
}

// GoneMembers lists the incarnations of a zone that are gone, in order.
func (s State) GoneMembers(z ident.Zone) []GoneMember {
	departed := lo.Filter(lo.Values(s.gone), func(d GoneMember, _ int) bool { return d.Zone == z })
	slices.SortFunc(departed, func(x, y GoneMember) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	return departed
}

// Reachable lists the nodes of a zone that are live or leaving at a time.
func (s State) Reachable(z ident.Zone, at time.Time) []Member {
	members := lo.Filter(append(s.Members(), s.self), func(m Member, _ int) bool {
		status := s.StatusOf(m.Node, at)
		return m.Zone == z && (status == StatusLive || status == StatusLeaving)
	})
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Node, y.Node) })
	return members
}

// Rank orders the live nodes of a zone for a slot by rendezvous hashing, the holder first.
func (s State) Rank(z ident.Zone, slot ident.Slot, at time.Time) []Member {
	live := lo.Filter(s.Reachable(z, at), func(m Member, _ int) bool { return s.StatusOf(m.Node, at) == StatusLive })
	slices.SortFunc(live, func(x, y Member) int {
		return cmp.Compare(weight(y.Node, slot), weight(x.Node, slot))
	})
	return live
}

// weight returns the rendezvous weight of a node for a slot.
func weight(n ident.Node, slot ident.Slot) uint64 {
	return ident.Mix(xxhash.Sum64String(string(n)) ^ ident.Mix(uint64(slot)+1))
}

// Listed carries a list of VMs that was read from the platform.
type Listed struct {
	At   time.Time
	List platform.VMList
}

// Received carries a heartbeat received from a peer, or the answer to one that was sent.
type Received struct {
	At      time.Time
	Members []Member
}

// Ticked asks for the next round of heartbeats; Random picks the peers.
type Ticked struct {
	At     time.Time
	Random func(n int) int
}

// Message is a Listed, Received or Ticked.
type Message interface{ message() }

func (Listed) message()   {}
func (Received) message() {}
func (Ticked) message()   {}

// Beat is a heartbeat to send.
type Beat struct {
	To     Member
	Digest []Member
}

// Handle applies a message and returns the next view and the heartbeats to send.
func (s State) Handle(m Message) (State, []Beat) {
	switch m := m.(type) {
	case Listed:
		return s.listed(m), nil
	case Received:
		return s.received(m), nil
	case Ticked:
		return s.tick(m)
	}
	return s, nil
}

func (s State) listed(m Listed) State {
	if m.List.Revision <= s.revision {
		return s
	}
	next := s.clone()
	next.revision = m.List.Revision
	names := map[ident.Node]bool{}
	for _, vm := range m.List.VMs {
		names[vm.Name] = true
		if vm.Name != s.self.Node {
			next.members[vm.Name] = next.withListed(vm)
		}
	}
	for n, known := range next.members {
		known.missing = known.listed && !names[n]
		next.members[n] = known
	}
	return next.withoutMissing(m.At)
}

// withoutMissing moves the nodes that are off the list and silent to the gone ones. The
// list alone is not enough: it lags, and may not yet contain a new VM that reuses a name.
func (s State) withoutMissing(at time.Time) State {
	for n, known := range s.members {
		if known.missing && at.Sub(known.advanced) > s.options.SuspectAfter {
			s.gone[known.Incarnation] = GoneMember{Member: known.Member, At: at}
			delete(s.members, n)
		}
	}
	return s
}

// withListed returns the member for a VM on the platform's list.
func (s State) withListed(vm platform.VM) knownMember {
	known, ok := s.members[vm.Name]
	if !ok {
		known = knownMember{Member: Member{Node: vm.Name, Zone: vm.Zone, URL: vm.URL, Phase: Live}}
	}
	known.listed, known.missing = true, false
	if vm.State == platform.VMLeaving && known.Phase == Live {
		known.Phase = Leaving
	}
	return known
}

func (s State) received(m Received) State {
	next := s.clone()
	for _, update := range m.Members {
		if update.Phase == Gone {
			next.recordGone(update, m.At)
			continue
		}
		if _, gone := next.gone[update.Incarnation]; gone || update.Node == s.self.Node {
			continue
		}
		old, ok := next.members[update.Node]
		if ok && !update.newer(old.Member) {
			continue
		}
		if ok && old.Incarnation != "" && old.Incarnation != update.Incarnation {
			next.gone[old.Incarnation] = GoneMember{Member: old.Member, At: m.At}
		}
		next.members[update.Node] = knownMember{Member: update, advanced: m.At, listed: old.listed, missing: old.missing}
	}
	return next
}

// recordGone records an incarnation that a peer reports as gone.
func (s State) recordGone(dead Member, at time.Time) {
	if _, known := s.gone[dead.Incarnation]; known || dead.Incarnation == s.self.Incarnation {
		return
	}
	s.gone[dead.Incarnation] = GoneMember{Member: dead, At: at}
	if m, ok := s.members[dead.Node]; ok && m.Incarnation == dead.Incarnation {
		delete(s.members, dead.Node)
	}
}

// A heartbeat carries at most maxGoneInBeat gone incarnations of the zone, each for
// goneInBeatFor after this node learned of it.
const (
	maxGoneInBeat = 8
	goneInBeatFor = 5 * time.Minute
)

// recentlyGone lists the incarnations of the own zone that are gone for at most goneInBeatFor, the latest first.
func (s State) recentlyGone() []Member {
	departed := lo.Filter(s.GoneMembers(s.self.Zone), func(d GoneMember, _ int) bool { return s.ticked.Sub(d.At) <= goneInBeatFor })
	slices.SortFunc(departed, func(x, y GoneMember) int { return y.At.Compare(x.At) })
	return lo.Map(departed[:min(len(departed), maxGoneInBeat)], func(d GoneMember, _ int) Member {
		d.Phase = Gone
		return d.Member
	})
}

// tick produces one round of heartbeats. After a stall of its own the node can't tell which
// peers were silent, so the suspicion timeout of all of them restarts.
func (s State) tick(m Ticked) (State, []Beat) {
	next := s.clone()
	if !s.ticked.IsZero() && m.At.Sub(s.ticked) > s.options.SuspectAfter {
		for n, known := range next.members {
			known.advanced = m.At
			next.members[n] = known
		}
	}
	next = next.withoutMissing(m.At)
	next.ticked = m.At
	next.self.Beat++
	digest := next.digest()
	beats := lo.Map(next.targets(m), func(to Member, _ int) Beat { return Beat{To: to, Digest: digest} })
	return next, beats
}

// targets picks the peers for a round of heartbeats.
func (s State) targets(m Ticked) []Member {
	near := lo.Filter(s.Members(), func(other Member, _ int) bool { return other.Zone == s.self.Zone })
	far := lo.Filter(s.Members(), func(other Member, _ int) bool { return other.Zone != s.self.Zone })
	return append(pick(near, s.options.FanOut, m.Random), pick(far, s.options.FarFanOut, m.Random)...)
}

// pick draws n of the members at random without replacement.
func pick(from []Member, n int, random func(int) int) []Member {
	from = slices.Clone(from)
	for i := range min(n, len(from)) {
		j := i + random(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:min(n, len(from))]
}

// Answer returns the answer to a received digest: the node itself, the members that are
// newer here, and a few that the digest does not contain.
func (s State) Answer(received []Member) []Member {
	known := make(map[ident.Node]bool, len(received))
	answer := []Member{s.self}
	for _, m := range received {
		known[m.Node] = true
		if own, ok := s.members[m.Node]; ok && own.newer(m) {
			answer = append(answer, own.Member)
		}
	}
	others := lo.Filter(s.digest(), func(m Member, _ int) bool { return !known[m.Node] && m.Node != s.self.Node })
	return append(answer, others[:min(len(others), maxOthersInAnswer)]...)
}

// maxOthersInAnswer is how many members an answer adds to those of the received digest.
const maxOthersInAnswer = 3

// Digest returns the members that a heartbeat carries: the node itself, the latest gone
// incarnations of its zone, and the members updated last, those of its own zone first.
func (s State) Digest() []Member { return s.digest() }

func (s State) digest() []Member {
	others := lo.Filter(lo.Values(s.members), func(m knownMember, _ int) bool { return m.Incarnation != "" })
	slices.SortFunc(others, func(x, y knownMember) int {
		if near := x.Zone == s.self.Zone; near != (y.Zone == s.self.Zone) {
			return lo.Ternary(near, -1, 1)
		}
		return cmp.Or(y.advanced.Compare(x.advanced), cmp.Compare(x.Node, y.Node))
	})
	digest := append([]Member{s.self}, s.recentlyGone()...)
	for _, m := range others[:min(len(others), s.options.DigestSize)] {
		digest = append(digest, m.Member)
	}
	return digest
}
