package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxshed/lynxshed/fleet/catalog"
	"github.com/lynxshed/lynxshed/fleet/config"
	"github.com/lynxshed/lynxshed/fleet/platform"
	"github.com/lynxshed/lynxshed/fleet/table"
)

// store is an in-memory platform.Store with a hook before a write of the head, and whose answer
// to such a write can be lost.
type store struct {
	platform.Store
	objects    map[string]platform.Object
	version    platform.Version
	beforeHead func()
	loseHead   bool
}

func (s *store) Get(_ context.Context, key string) (platform.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *store) Put(_ context.Context, key string, version platform.Version, value any) (platform.Version, error) {
	if before := s.beforeHead; key == config.HeadKey && before != nil {
		s.beforeHead = nil
		before()
	}
	if s.objects[key].Version != version {
		return 0, platform.ErrConflict
	}
	data, _ := json.Marshal(value)
	s.version++
	s.objects[key] = platform.Object{Key: key, Version: s.version, Value: data}
	if key == config.HeadKey && s.loseHead {
		s.loseHead = false
		return 0, platform.ErrUnknown
	}
	return s.version, nil
}

var allowAll = config.GuardFunc(func(context.Context, table.Table, table.Table, []table.Edit) (func(context.Context), error) {
	return func(context.Context) {}, nil
})

func newEditor(s *store, g config.Guard) *config.Editor {
	loader := config.NewLoader(s, func(string) (config.Shard, bool) { return config.Shard{}, false })
	return config.NewEditor(s, loader, g, func() time.Time { return time.Unix(0, 0) })
}

func customer(name, column, value string, version table.Version) []table.Edit {
	return []table.Edit{{Kind: table.Customer, Name: name, Version: version, Cells: table.Cells{table.Column(column): value}}}
}

// Another operator's edit is accepted between the read and the write of the head. The retry must
// keep both changes.
func TestConcurrentEditsAreBothKept(t *testing.T) {
	s := &store{objects: map[string]platform.Object{}}
	first, second := newEditor(s, allowAll), newEditor(s, allowAll)
	ctx := context.Background()
	_, err := first.Accept(ctx, "create--", "a", customer("x", "weight", "1", 0))
	require.NoError(t, err)
	s.beforeHead = func() {
		_, err := second.Accept(ctx, "second--", "b", customer("x", "note", "spring", 1))
		require.NoError(t, err)
	}
	after, err := first.Accept(ctx, "first---", "a", customer("x", "weight", "5", 1))
	require.NoError(t, err)
	row, _ := after.Table.Get(table.ID{Kind: table.Customer, Name: "x"})
	assert.Equal(t, table.Cells{"weight": "5", "note": "spring"}, row.Cells)
	assert.Equal(t, int64(3), after.Head.Revision)
}

// The write of the head takes effect but its answer is lost. The retry must not apply the edit
// again.
func TestALostAnswerIsAcceptedOnce(t *testing.T) {
	s := &store{objects: map[string]platform.Object{}, loseHead: true}
	after, err := newEditor(s, allowAll).Accept(context.Background(), "change--", "a", customer("x", "weight", "1", 0))
	require.NoError(t, err)
	assert.Equal(t, int64(1), after.Head.Revision)
	assert.Len(t, after.Head.History, 1)
}

func TestAGuardsRefusalChangesNothing(t *testing.T) {
	s := &store{objects: map[string]platform.Object{}}
	refuse := config.GuardFunc(func(context.Context, table.Table, table.Table, []table.Edit) (func(context.Context), error) {
		return nil, errors.New("below what is spent")
	})
	_, err := newEditor(s, refuse).Accept(context.Background(), "change--", "a", customer("x", "weight", "1", 0))
	require.Error(t, err)
	assert.Empty(t, s.objects)
}

func TestRevisionNeverDecreases(t *testing.T) {
	s := &store{objects: map[string]platform.Object{}}
	editor := newEditor(s, allowAll)
	var heads []config.Snapshot
	for i := range 3 {
		snapshot, err := editor.Accept(context.Background(), fmt.Sprintf("change-%d", i), "a", customer(fmt.Sprintf("c%d", i), "weight", "1", 0))
		require.NoError(t, err)
		heads = append(heads, snapshot)
	}
	var revisions []int64
	inForce := config.NewInForce(func(c *catalog.Catalog) { revisions = append(revisions, c.Revision) })
	for _, i := range []int{1, 0, 2, 1} {
		require.NoError(t, inForce.AdvanceTo(heads[i]))
	}
	assert.Equal(t, []int64{2, 3}, revisions)
}

func TestAShardWithAnotherHashIsRefused(t *testing.T) {
	inForce := config.NewInForce(func(*catalog.Catalog) {})
	head := config.Head{Revision: 1, Shards: []string{"0123"}}
	err := inForce.Advance(head, func(string) (config.Shard, error) { return config.Shard{}, nil })
	assert.Error(t, err)
	assert.Zero(t, inForce.Revision())
}
