// Package policy is what operators have laid down for relayed calls: routes,
// services, tenants and bounds, as one immutable value with a version.
package policy

import (
	"slices"
	"strings"
	"time"
)

// Policy is one accepted configuration.
type Policy struct {
	Version  int64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits
	Keyed    bool // whether calls need a key

	byHost map[string][]int
	byKey  map[string]int
	byName map[string]int
}

// Kind says how often a call may run.
type Kind int

// The kinds.
const (
	Once       Kind = iota // may run at most once
	Repeatable             // may run more than once
	Streaming              // answered by events; at most once unless Resumable
)

// Route sends calls of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Kind       Kind
	Resumable  bool
	Public     bool
	Timeout    time.Duration // the longest that a call is held; 0 is none
	Objective  time.Duration // full worth up to here
	Gap        time.Duration // longest pause between events in time; 0 is none
	Attempts   int           // endpoints that one call may be sent to
	Priority   int           // 0 is first
	Splits     []Split
	PrefixPart bool // calls share parts of their prompts
	Homes      Homes
}

// MayRepeat is whether a call of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// Split is a share of a route's calls.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of like endpoints.
type Service struct {
	Name           string
	MaxConnections int   // of one endpoint, for all callers together
	Stride         int64 // tokens in one event of a stream; 0 where it has no tokens
	Slots          int
	KVCapacity     int64   // tokens that an endpoint keeps
	TokenBytes     int64   // of a kept token, when it is moved between endpoints
	LinkMbps       float64 // between two endpoints

	ColdStart     time.Duration // how long an endpoint is slow after its start
	ColdPerSecond float64       // calls that one bears then; 0 is no bound
}

// Tenant is a customer with keys and a prepaid budget.
type Tenant struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool
	Prepaid     int64 // tokens for the whole day
	HasPrepaid  bool
	Homes       Homes
}

// Homes are the regions in which a call may run and in which what belongs to it may be
// kept; none is any.
type Homes []string

// Allow is whether a call may run in a region.
func (h Homes) Allow(region string) bool {
	return len(h) == 0 || slices.Contains(h, region)
}

// With returns the regions that both allow: nil is any, and one that is empty but not nil
// is none.
func (h Homes) With(other Homes) Homes {
	switch {
	case len(h) == 0:
		return slices.Clone(other)
	case len(other) == 0:
		return slices.Clone(h)
	}
	both := slices.DeleteFunc(slices.Clone(h), func(region string) bool { return !slices.Contains(other, region) })
	slices.Sort(both)
	return slices.Compact(both)
}

// Limits bound what callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Indexed returns the policy with its look-up tables built.
func (p Policy) Indexed() *Policy {
	p.byHost, p.byKey, p.byName = map[string][]int{}, map[string]int{}, map[string]int{}
	for i, r := range p.Routes {
		p.byHost[strings.ToLower(r.Host)] = append(p.byHost[strings.ToLower(r.Host)], i)
	}
	for i, t := range p.Tenants {
		for _, k := range t.Keys {
			p.byKey[k] = i
		}
	}
	for i, s := range p.Services {
		p.byName[s.Name] = i
	}
	return &p
}

// Match finds the route of a call: the longest prefix among those of its host.
func (p *Policy) Match(host, path string) (Route, bool) {
	best := -1
	for _, i := range p.byHost[strings.ToLower(host)] {
		prefix := p.Routes[i].Prefix
		if strings.HasPrefix(path, prefix) && (best < 0 || len(prefix) > len(p.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return p.Routes[best], true
}

// TenantOf finds the tenant that holds a key.
func (p *Policy) TenantOf(key string) (Tenant, bool) {
	i, ok := p.byKey[key]
	if !ok {
		return Tenant{}, false
	}
	return p.Tenants[i], true
}

// Service finds a service by name.
func (p *Policy) Service(name string) (Service, bool) {
	i, ok := p.byName[name]
	if !ok {
		return Service{}, false
	}
	return p.Services[i], true
}

// Pick chooses a service of the route by weight; draw is uniform.
func (r Route) Pick(draw uint64) string {
	total := uint64(0)
	for _, s := range r.Splits {
		total += uint64(max(s.Weight, 0))
	}
	if total == 0 {
		return ""
	}
	draw %= total
	for _, s := range r.Splits {
		if draw < uint64(max(s.Weight, 0)) {
			return s.Service
		}
		draw -= uint64(max(s.Weight, 0))
	}
	return ""
}
