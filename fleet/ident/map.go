package ident

import (
	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// hasher hashes any string type.
type hasher[K ~string] struct{}

// Hash implements immutable.Hasher.
func (hasher[K]) Hash(key K) uint32 { return uint32(xxhash.Sum64String(string(key))) }

// Equal implements immutable.Hasher.
func (hasher[K]) Equal(a, b K) bool { return a == b }

// NewMap returns an empty immutable map whose keys are of a string type.
func NewMap[K ~string, V any]() *immutable.Map[K, V] {
	return immutable.NewMap[K, V](hasher[K]{})
}
