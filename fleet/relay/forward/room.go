package forward

import (
	"context"
	"sync"
	"time"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// How long a call waits for this node's share of the slots of fragile endpoints.
const (
	roomWaitShare   = 1.0 / 8 // of the route's objective
	defaultRoomWait = 125 * time.Millisecond
	roomPoll        = 5 * time.Millisecond
)

// waiters counts the calls of each service that wait for room. It is safe for concurrent use.
type waiters struct {
	mu    sync.Mutex
	calls map[string]int
}

// enter adds a call unless as many wait already.
func (w *waiters) enter(service string, most int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls[service] >= most {
		return false
	}
	if w.calls == nil {
		w.calls = map[string]int{}
	}
	w.calls[service]++
	return true
}

func (w *waiters) leave(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[service]--
}

// pickOrWait picks an endpoint. A call that lacks only this node's share of the slots of fragile
// endpoints waits for a while: other calls of this node end there, while a refused call would come
// back to a node whose share may be used as well.
func (j *job) pickOrWait(ctx context.Context, tried map[engine.Incarnation]bool) (*choice.Placement, bool) {
	placement, ok := j.pick(tried)
	if ok || !j.enterWait(tried) {
		return placement, ok
	}
	defer j.waiting.leave(j.service.Name)
	for until := clock.Now().Add(j.roomWait()); !ok && ctx.Err() == nil && clock.Now().Before(until); {
		clock.Pause(ctx, roomPoll)
		placement, ok = j.pick(tried)
	}
	return placement, ok
}

// enterWait reports whether the call waits for room, and counts it if so.
func (j *job) enterWait(tried map[engine.Incarnation]bool) bool {
	r, ok := j.openRequest(tried)
	if !ok || j.trial() != nil {
		return false
	}
	most := j.Picker.AwaitsRoom(r)
	return most > 0 && j.waiting.enter(j.service.Name, most)
}

func (j *job) roomWait() time.Duration {
	if j.route.Objective <= 0 {
		return defaultRoomWait
	}
	return time.Duration(roomWaitShare * float64(j.route.Objective))
}
