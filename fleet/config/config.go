// Package config puts one revision of the table in force on every node.
//
// The platform stores the table as shards, immutable objects named by the hash of their
// content. One head object names the shards in force. An edit is accepted by one conditional
// update of the head, so that it is atomic and revisions only increase.
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

// maxHistory is how many changes the head's history holds.
const maxHistory = 40

// Change is one accepted set of edits.
type Change struct {
	ID       string       `json:"id"`
	Revision int64        `json:"revision"`
	At       time.Time    `json:"at"`
	Operator string       `json:"operator"`
	Edits    []table.Edit `json:"edits"`
}

// Head is a revision: it names the shards in force and the last changes.
type Head struct {
	Revision int64    `json:"revision"`
	Shards   []string `json:"shards"` // the content hash of each shard; "" is empty
	History  []Change `json:"history"`
}

// Shard holds the rows whose id hashes to it.
type Shard struct {
	Rows []table.Row `json:"rows"`
}

// Hash returns the hash of the shard's content, which is its name.
func (s Shard) Hash() (string, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, "encode shard")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16]), nil
}

// ShardKey returns the platform's key of a shard.
func ShardKey(hash string) string { return shardPrefix + hash }

// Snapshot is one complete revision.
type Snapshot struct {
	Head  Head
	Table table.Table
}

// Newer reports whether a head may replace the one in force; revisions never decrease.
func (h Head) Newer(than Head) bool { return h.Revision > than.Revision }

// Has reports whether the head's history contains a change.
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

// split divides the rows into shards.
func split(t table.Table) []Shard {
	shards := make([]Shard, Shards)
	for _, r := range t.Rows("") {
		i := shardOf(r.ID())
		shards[i].Rows = append(shards[i].Rows, r)
	}
	return shards
}

// next returns the head that puts a table in force, and the shards that are new.
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
