// Package config puts one revision of the table in force on every node.
//
// The table lies in the platform as shards, each an immutable object named by
// its content. One head object names the shards in force; accepting an edit is
// one conditional update of the head, so it is atomic and only moves forward.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lynxshed/lynxshed/fleet/table"
)

// Keys of the platform's objects.
const (
	HeadKey     = "table/head"
	shardPrefix = "table/shards/"
)

// Shards is how many objects the table is split into.
const Shards = 128

// maxHistory is how many edits the head remembers.
const maxHistory = 40

// Change is one accepted set of edits.
type Change struct {
	ID       string       `json:"id"`
	Revision int64        `json:"revision"`
	At       time.Time    `json:"at"`
	Operator string       `json:"operator"`
	Edits    []table.Edit `json:"edits"`
}

// Head names the shards in force.
type Head struct {
	Revision int64    `json:"revision"`
	Shards   []string `json:"shards"` // the content hash of each shard; "" is empty
	History  []Change `json:"history"`
}

// Shard is the rows that hash to one shard.
type Shard struct {
	Rows []table.Row `json:"rows"`
}

// Hash names the shard by its content.
func (s Shard) Hash() (string, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, "encode shard")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16]), nil
}

// ShardKey is the platform's key of a shard.
func ShardKey(hash string) string { return shardPrefix + hash }

// Snapshot is one revision, whole.
type Snapshot struct {
	Head  Head
	Table table.Table
}

// Newer reports whether a head may replace the one in force: never backwards.
func (h Head) Newer(than Head) bool { return h.Revision > than.Revision }

// Has reports whether the head's history holds a change.
func (h Head) Has(id string) bool {
	for _, c := range h.History {
		if c.ID == id {
			return true
		}
	}
	return false
}

func shardOf(id table.ID) int {
	return int(xxhash.Sum64String(id.String()) % Shards)
}

// split parts the rows into shards.
func split(t table.Table) []Shard {
	shards := make([]Shard, Shards)
	for _, r := range t.Rows("") {
		at := shardOf(r.ID())
		shards[at].Rows = append(shards[at].Rows, r)
	}
	return shards
}

// next is the head that would put a table in force, with the shards that are new.
func (h Head) next(t table.Table, c Change) (Head, []Shard, error) {
	head := Head{Revision: h.Revision + 1, Shards: make([]string, Shards)}
	var fresh []Shard
	for i, s := range split(t) {
		if len(s.Rows) == 0 {
			continue
		}
		hash, err := s.Hash()
		if err != nil {
			return Head{}, nil, err
		}
		head.Shards[i] = hash
		if len(h.Shards) <= i || h.Shards[i] != hash {
			fresh = append(fresh, s)
		}
	}
	c.Revision = head.Revision
	head.History = append(append([]Change{}, h.History...), c)
	head.History = head.History[max(0, len(head.History)-maxHistory):]
	return head, fresh, nil
}
