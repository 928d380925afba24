// Package policy defines the operators' configuration for relayed calls: routes, services, tenants
// and limits, as one immutable value with a version.
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
	Keyed    bool // calls need an API key

	byHost map[string][]int
	byKey  map[string]int
	byName map[string]int
}

// Kind determines how often a call may run.
type Kind int

// Kinds of routes.
const (
	Once       Kind = iota // calls run at most once
	Repeatable             // calls may run more than once
	Streaming              // calls are answered by an event stream and run at most once, unless Resumable
)

// Route maps the calls with a host and a path prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           Kind
	Resumable      bool
	Public         bool
	Timeout        time.Duration // maximum duration of a call; 0: none
	Objective      time.Duration // an answer within this time has its full value
	Gap            time.Duration // maximum pause between events that counts as in time; 0: none
	Attempts       int           // maximum number of endpoints that a call is sent to
	Priority       int           // 0 is the highest
	Splits         []Split
	PrefixPart     bool // calls share parts of their prompts
	AllowedRegions Regions
}

// MayRepeat reports whether a call of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// Split is a service and its weight among the services of a route.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of equivalent endpoints.
type Service struct {
	Name           string
	MaxConnections int     // to one endpoint, from all nodes together
	TokensPerEvent int64   // tokens per event of a stream; 0 if it has no tokens
	Slots          int     // calls that an endpoint runs at a time
	HealthPath     string  // of the endpoints' health check; "": unknown
	KVCapacity     int64   // tokens in an endpoint's cache
	TokenBytes     int64   // size of a cached token in transfers between endpoints
	LinkMbps       float64 // bandwidth between two endpoints

	ColdStart     time.Duration // how long an endpoint is slow after its start
	ColdPerSecond float64       // calls per second that it can take during that time; 0: no bound
}

// Tenant is a customer with keys and a prepaid budget.
type Tenant struct {
	Name           string
	Keys           []string
	Priority       int
	HasPriority    bool
	Prepaid        int64 // tokens for the whole day
	HasPrepaid     bool
	AllowedRegions Regions
}

// Regions are the regions in which a call may run and its data may be kept. Without any, all are
// allowed.
type Regions []string

// Allow reports whether a call may run in a region.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || slices.Contains(r, region)
}

// Intersect returns the regions that both allow. A nil result means any region, an empty one that is not
// nil means none.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case len(r) == 0:
		return slices.Clone(other)
	case len(other) == 0:
		return slices.Clone(r)
	}
	both := slices.DeleteFunc(slices.Clone(r), func(region string) bool { return !slices.Contains(other, region) })
	slices.Sort(both)
	return slices.Compact(both)
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Indexed returns the policy with its lookup tables built.
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

// Match returns the route of a call: the one of its host with the longest matching prefix.
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

// TenantOf returns the tenant with a key.
func (p *Policy) TenantOf(key string) (Tenant, bool) {
	i, ok := p.byKey[key]
	if !ok {
		return Tenant{}, false
	}
	return p.Tenants[i], true
}

// Service returns a service by name.
func (p *Policy) Service(name string) (Service, bool) {
	i, ok := p.byName[name]
	if !ok {
		return Service{}, false
	}
	return p.Services[i], true
}

// Pick chooses a service of the route by weight; draw is a uniformly distributed number.
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
