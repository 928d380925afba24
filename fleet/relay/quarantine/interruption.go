package quarantine

import (
	"slices"
	"time"
)

// interruption holds the calls that were interrupted at an endpoint which may have ended.
type interruption struct {
	checkedAt time.Time // when the endpoint was last checked
	suspects  []Suspect
}

// add adds the suspects of one call, each once.
func (c *interruption) add(suspects []Suspect) {
	for _, s := range suspects {
		known := slices.IndexFunc(c.suspects, func(k Suspect) bool { return k.Fingerprint == s.Fingerprint })
		switch {
		case known >= 0:
			c.suspects[known].Progress = min(c.suspects[known].Progress, s.Progress)
			c.suspects[known].Answered = c.suspects[known].Answered || s.Answered
		case len(c.suspects) < maxSuspects:
			c.suspects = append(c.suspects, s)
		}
	}
}
