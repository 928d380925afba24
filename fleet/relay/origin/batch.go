package origin

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/engine"
)

// keyBytes is the part of a stream's identity that the store keeps. Among a hundred thousand streams
// another one has the same by a chance of one in three billion.
const keyBytes = 6

// key is that part.
type key [keyBytes]byte

func keyOf(s Stream) key { return key(binary.BigEndian.AppendUint64(nil, uint64(s))[:keyBytes]) }

const (
	// MaxBatchRecords is the number of records from which a batch takes no more.
	MaxBatchRecords = 8 << 10
	maxBatchBytes   = MaxBatchRecords * keyBytes
)

// Batch is an immutable set of records as the store keeps it.
type Batch struct {
	Streams map[string][]byte `json:"streams"` // by version: the keys of its streams, one after the other
}

// With returns the batch with some more records.
func (b Batch) With(records []Record) Batch {
	streams := maps.Clone(b.Streams)
	if streams == nil {
		streams = map[string][]byte{}
	}
	for version, some := range lo.GroupBy(records, func(r Record) string { return r.Version }) {
		keys := slices.Clone(streams[version])
		for _, r := range some {
			k := keyOf(r.Stream)
			keys = append(keys, k[:]...)
		}
		streams[version] = keys
	}
	return Batch{Streams: streams}
}

// Bytes returns the size of the keys.
func (b Batch) Bytes() int {
	return lo.SumBy(lo.Values(b.Streams), func(keys []byte) int { return len(keys) })
}

// Archive is an immutable set of batches, to look streams up.
type Archive struct {
	byVersion map[string][]key // sorted
}

// NewArchive returns the archive of some batches.
func NewArchive(batches []Batch) *Archive {
	a := &Archive{byVersion: map[string][]key{}}
	for _, b := range batches {
		for version, keys := range b.Streams {
			for one := range slices.Chunk(keys[:len(keys)-len(keys)%keyBytes], keyBytes) {
				a.byVersion[version] = append(a.byVersion[version], key(one))
			}
		}
	}
	for _, keys := range a.byVersion {
		slices.SortFunc(keys, compareKeys)
	}
	return a
}

func compareKeys(a, b key) int { return bytes.Compare(a[:], b[:]) }

// Find returns the version that began a stream. A stream of which two versions are recorded is not
// known: its first record may have been lost.
func (a *Archive) Find(s Stream) (version string, known bool) {
	if a == nil {
		return "", false
	}
	of := lo.Filter(lo.Keys(a.byVersion), func(v string, _ int) bool {
		_, found := slices.BinarySearchFunc(a.byVersion[v], keyOf(s), compareKeys)
		return found
	})
	if read := lo.Reject(of, func(v string, _ int) bool { return engine.IsUnread(v) }); len(read) > 0 {
		of = read // its version was told later
	}
	if len(of) != 1 {
		return "", false
	}
	return of[0], true
}
