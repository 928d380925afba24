package call

import "time"

// Notice is what an endpoint says in an answer about the calls that it wants: sealed.
type Notice interface{ notice() }

// Leaving says that the endpoint is about to end.
type Leaving struct{}

// Rest says that the endpoint has turned a call away, and wants nothing from this node for so
// long.
type Rest struct{ For time.Duration }

func (Leaving) notice() {}
func (Rest) notice()    {}
