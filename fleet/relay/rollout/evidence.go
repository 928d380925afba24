package rollout

// Sample is how one answer went, for the comparison of two versions on one route.
type Sample struct {
	Service  string
	Route    string
	Target   bool   // it ran at an endpoint of the target
	Endpoint uint64 // hash of the endpoint's id
	Failed   bool
	Slowness float64 // time taken over time expected for its prompt and the load; 0 is not known
}

// Cohorts is how many groups the endpoints of a version are counted in, by the hash of
// their ids: one endpoint that is ill spoils one of them.
const Cohorts = 8

// Count is answers of one version on one route.
type Count struct {
	Answers int `json:"n,omitempty"`
	Bad     int `json:"b,omitempty"` // failed, or several times slower than the old version's usual
}

// RouteEvidence is what was seen on one route.
type RouteEvidence struct {
	Route  string         `json:"r"`
	Old    [Cohorts]Count `json:"o"`
	Target [Cohorts]Count `json:"t"`
}

// Evidence is what was seen of an order's two versions, by one node since it knows of
// the order, or by several nodes together. It only grows.
type Evidence struct {
	Service string          `json:"s"`
	Made    int64           `json:"m"` // of the order
	Routes  []RouteEvidence `json:"e,omitempty"`
}

// Verdict is what evidence says of a target.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)
