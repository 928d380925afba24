// Package platform is the client of the platform's service: objects with versions,
// conditional updates and watches, the list of VMs and the weight store.
package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/ident"
)

// Errors that callers of the platform distinguish.
var (
	ErrNotFound = errors.New("no such object")
	ErrConflict = errors.New("the object has another version")
	ErrTooLarge = errors.New("the value is over the platform's limit")
	// ErrUnknown means that the write may have taken effect: its answer was lost, or does not say.
	ErrUnknown = errors.New("the outcome of the write is not known")
	// ErrLimited means that the platform's rate limit refused the call.
	ErrLimited = errors.New("the platform's rate limit is reached")
)

// Version increases with each write of an object; 0 is an object that does not exist.
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

// VMState is the state of a VM on the platform's list.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's lagging list.
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

// Store is the interface of the platform to the components of a node.
type Store interface {
	// Get reads one object; it returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes a value if the object still has the version; otherwise it returns ErrConflict.
	Put(ctx context.Context, key string, version Version, value any) (Version, error)
	// List names the objects under a prefix, without values.
	List(ctx context.Context, prefix string) (Page, error)
	// Watch returns the objects under a prefix that changed after a revision; it waits at most
	// wait for one.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// VMs reads the list of VMs.
	VMs(ctx context.Context) (VMList, error)
	// Weights fetches a model's weights from the weight store.
	Weights(ctx context.Context, model string) error
}
