package rollout

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// String returns the name of the state, for logs.
func (s State) String() string {
	switch s {
	case InProgress:
		return "in-progress"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	}
	return "ordered"
}

// String returns the name of the stage, for logs.
func (s Stage) String() string {
	if s == Moving {
		return "moving"
	}
	return "sampling"
}

// Equal reports whether two statuses are equal.
func (s Status) Equal(o Status) bool {
	same := s.State == o.State && s.Target == o.Target && s.Made == o.Made && s.Stage == o.Stage && s.Share == o.Share
	same = same && s.Used == o.Used && s.Left == o.Left && s.PulseShare == o.PulseShare && s.FullLoad == o.FullLoad && s.FirstPulse == o.FirstPulse && s.Unhealthy == o.Unhealthy && s.Writes == o.Writes
	return same && slices.Equal(s.RouteShares, o.RouteShares) && slices.Equal(s.Barred, o.Barred) && slices.Equal(s.References, o.References)
}

// Names returns the sorted names of the objects in the set.
func (s Set) Names() []string { return slices.Sorted(maps.Keys(s.byName)) }

// MarshalJSON encodes counts as pairs of numbers up to the last pair that is not zero, to keep them
// short: they are sent several times per second.
func (c Counts) MarshalJSON() ([]byte, error) {
	var flat []int
	for i, one := range c {
		if one != (Count{}) {
			flat = append(flat, make([]int, 2*i+2-len(flat))...)
			flat[2*i], flat[2*i+1] = one.Answers, one.Bad
		}
	}
	return json.Marshal(flat)
}

// UnmarshalJSON decodes the form of MarshalJSON and rejects negative counts.
func (c *Counts) UnmarshalJSON(data []byte) error {
	var flat []int
	if err := json.Unmarshal(data, &flat); err != nil {
		return errors.Wrap(err, "counts")
	}
	if len(flat) > 2*Cohorts || len(flat)%2 != 0 {
		return errors.Newf("counts: %d numbers", len(flat))
	}
	*c = Counts{}
	for i := 0; i < len(flat); i += 2 {
		if flat[i] < 0 || flat[i+1] < 0 || flat[i+1] > flat[i] {
			return errors.Newf("counts: %d bad of %d", flat[i+1], flat[i])
		}
		c[i/2] = Count{Answers: flat[i], Bad: flat[i+1]}
	}
	return nil
}
