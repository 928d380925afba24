package call

import "time"

// Notice is a request of an endpoint, in an answer, about the calls that it gets. Leaving, Rest
// and Fragile are the only notices.
type Notice interface{ notice() }

// Leaving announces that the endpoint is about to stop.
type Leaving struct{}

// Rest announces that the endpoint has turned a call away and asks this node for no calls for a
// while.
type Rest struct{ For time.Duration }

// Fragile announces that the endpoints of the service crash when they have to reject too many calls.
type Fragile struct {
	MaxRejections int // per second and endpoint
}

func (Leaving) notice() {}
func (Rest) notice()    {}
func (Fragile) notice() {}
