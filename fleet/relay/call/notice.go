package call

import "time"

// Notice is a request of an endpoint, in an answer, about the calls that it gets. Leaving and Rest
// are the only notices.
type Notice interface{ notice() }

// Leaving announces that the endpoint is about to stop.
type Leaving struct{}

// Rest announces that the endpoint has turned a call away and asks this node for no calls for a
// while.
type Rest struct{ For time.Duration }

func (Leaving) notice() {}
func (Rest) notice()    {}
