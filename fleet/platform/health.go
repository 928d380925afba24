package platform

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Health reports whether the platform answers this node.
type Health struct {
	OK    bool
	Since time.Time
	Why   string
}

// Monitored wraps a Store and records whether it answers.
type Monitored struct {
	Store
	now func() time.Time

	mu     sync.Mutex
	health Health
}

// NewMonitored wraps a store, which counts as available until a call fails.
func NewMonitored(s Store, now func() time.Time) *Monitored {
	return &Monitored{Store: s, now: now, health: Health{OK: true, Since: now()}}
}

// Health returns the current health of the platform.
func (m *Monitored) Health() Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health
}

// answered reports whether the platform answered; some errors are answers too.
func answered(err error) bool {
	return err == nil || errors.IsAny(err, ErrNotFound, ErrConflict, ErrTooLarge)
}

// record updates the health after a call.
func (m *Monitored) record(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		return // the node itself cancelled the call
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ok := answered(err)
	if ok != m.health.OK {
		m.health = Health{OK: ok, Since: m.now()}
	}
	if !ok {
		m.health.Why = err.Error()
	}
}

// Get implements Store.
func (m *Monitored) Get(ctx context.Context, key string) (Object, error) {
	o, err := m.Store.Get(ctx, key)
	m.record(ctx, err)
	return o, err
}

// Put implements Store.
func (m *Monitored) Put(ctx context.Context, key string, version Version, value any) (Version, error) {
	v, err := m.Store.Put(ctx, key, version, value)
	m.record(ctx, err)
	return v, err
}

// VMs implements Store.
func (m *Monitored) VMs(ctx context.Context) (VMList, error) {
	l, err := m.Store.VMs(ctx)
	m.record(ctx, err)
	return l, err
}
