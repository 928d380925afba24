package distance_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lynxshed/lynxshed/fleet/relay/distance"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

func TestClass(t *testing.T) {
	cases := []struct {
		name, own, other string
		regions          map[string]string
		want             distance.Class
	}{
		{"the zone itself", "a1", "a1", regions, distance.SameZone},
		{"a zone of the region", "a1", "a2", regions, distance.SameRegion},
		{"a zone of another region", "a1", "b1", regions, distance.OtherRegion},
		{"a zone whose region is not named", "a1", "x1", regions, distance.OtherRegion},
		{"two zones whose regions are not named", "x1", "x2", regions, distance.SameRegion},
		{"a node whose own region is not named", "x1", "a1", regions, distance.OtherRegion},
		{"no regions are named", "a1", "b1", nil, distance.SameRegion},
		{"a zone without a name is one of its own", "a1", "", nil, distance.SameRegion},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := distance.From(c.own, c.regions, distance.DefaultCosts())
			assert.Equal(t, c.want, p.Class(c.other))
			assert.Equal(t, c.want != distance.OtherRegion, p.Near(c.other))
		})
	}
}

// The round trip is the default until one was measured, and then the median of the latest: a few
// connects slowed by a full endpoint must not count.
func TestRoundTripIsTheMedianOfMeasurements(t *testing.T) {
	now := time.Unix(1000, 0)
	p := distance.From("a1", regions, distance.DefaultCosts())
	unknown := p.To("b1", now)
	assert.False(t, unknown.Measured)
	assert.Greater(t, unknown.RoundTrip, p.To("a2", now).RoundTrip)
	for i := range 30 {
		took := 24 * time.Millisecond
		if i%3 == 0 {
			took = time.Second
		}
		p.RecordRoundTrip("b1", took, now)
	}
	p.RecordRoundTrip("b1", 0, now.Add(time.Second))
	known := p.To("b1", now.Add(2*time.Second))
	assert.True(t, known.Measured)
	assert.Equal(t, 24*time.Millisecond, known.RoundTrip)
	assert.Equal(t, 2*time.Second, known.Age)
	for range 31 {
		p.RecordRoundTrip("b1", 80*time.Millisecond, now)
	}
	assert.Equal(t, 80*time.Millisecond, p.To("b1", now).RoundTrip, "a round trip that became longer is adopted")
}

func TestCostOfLeavingTheZone(t *testing.T) {
	now := time.Unix(1000, 0)
	c := distance.DefaultCosts().WithBytes(100, 400)
	p := distance.From("a1", regions, c)
	assert.Zero(t, p.To("a1", now).Call(10_000, 1_000_000))
	assert.Zero(t, p.To("a1", now).Plain())
	near, far := p.To("a2", now), p.To("b1", now)
	assert.InDelta(t, 0.03*10_000+100, near.Call(10_000, 1_000_000), 1)
	assert.GreaterOrEqual(t, far.Call(10_000, 1_000_000), near.Call(10_000, 1_000_000)+300)
	assert.GreaterOrEqual(t, far.Plain(), near.Plain())
	noCosts := distance.From("a1", regions, distance.None()).To("b1", now)
	assert.Zero(t, noCosts.Call(10_000, 1_000_000)+noCosts.Plain()+noCosts.DelayMs())
}

func TestConcurrentMeasurements(t *testing.T) {
	p := distance.From("a1", regions, distance.DefaultCosts())
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				p.RecordRoundTrip("b1", time.Millisecond, time.Now())
				p.To("b1", time.Now())
			}
		})
	}
	all.Wait()
	assert.Equal(t, time.Millisecond, p.To("b1", time.Now()).RoundTrip)
}
