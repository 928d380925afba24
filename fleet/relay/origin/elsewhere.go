package origin

import "time"

const (
	// listingTTL is for how long another node's word that it lists a version counts: large fleets send
	// digests to each node once a second, and some are lost.
	listingTTL = 2500 * time.Millisecond
	// behindAfter is for how long others may list a version that this node does not: followers rest after
	// changes.
	behindAfter = time.Second
)

// listing is a version that endpoints of a service run.
type listing struct{ service, version string }

// toldListing is when others have listed a version, without a pause of listingTTL.
type toldListing struct{ first, last time.Time }

// again returns the listing once it was told again.
func (l toldListing) again(now time.Time) toldListing {
	if !l.isCurrent(now) {
		l.first = now
	}
	l.last = now
	return l
}

func (l toldListing) isCurrent(now time.Time) bool {
	return !l.last.IsZero() && now.Sub(l.last) < listingTTL
}
