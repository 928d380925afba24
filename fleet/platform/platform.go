// Package platform speaks to the platform's service: objects with versions,
// conditional updates and watches, the list of VMs and the weight store.
package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// The errors that a caller of the platform tells apart.
var (
	ErrNotFound = errors.New("no such object")
	ErrConflict = errors.New("the object has another version")
	ErrTooLarge = errors.New("the value is over the platform's limit")
	// ErrUnknown means that the write may have taken effect: its answer was lost.
	ErrUnknown = errors.New("the outcome of the write is not known")
	// ErrLimited means that the platform's rate limit refused the call.
	ErrLimited = errors.New("the platform's rate limit is reached")
)

// Version counts the writes; 0 is an object that does not exist.
type Version int64

// Object is a JSON value with its version.
type Object struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Page is a set of objects as of one revision of the platform.
type Page struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// VMState is what the platform's list says of a VM.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's lagging list.
type VM struct {
	Name  ident.Node `json:"name"`
	Zone  ident.Zone `json:"zone"`
	URL   string     `json:"url"`
	State VMState    `json:"state"`
}

// VMList is the platform's lagging list of VMs.
type VMList struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
}

// Store is the platform as the slices see it.
type Store interface {
	// Get reads one object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object still has the version, or ErrConflict.
	Put(ctx context.Context, key string, version Version, value any) (Version, error)
	// List names the objects under a prefix, without values.
	List(ctx context.Context, prefix string) (Page, error)
	// Watch waits at most wait for objects under a prefix that changed after a revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// VMs reads the list of VMs.
	VMs(ctx context.Context) (VMList, error)
	// Weights asks the weight store for a model's weights.
	Weights(ctx context.Context, model string) error
}
