package replica

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// groupStore is a platform's store that holds groups.
type groupStore struct {
	directory.Store
	mutex  sync.Mutex
	groups map[string]*replicav1.Group
}

func (o *groupStore) Get(_ context.Context, _ directory.Kind, name string) (directory.Object, bool, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	group, found := o.groups[name]
	return directory.Object{Name: name, Group: group}, found, nil
}

func (o *groupStore) Create(_ context.Context, _ directory.Kind, object directory.Object) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.groups[object.Name] != nil {
		return &directory.Conflict{Name: object.Name}
	}
	o.groups[object.Name] = object.Group
	return nil
}

// newFormingReplica returns a replica of a system that starts for the first time, with the
// registered nodes.
func newFormingReplica(t *testing.T, objects directory.Store, node string, registered []directory.Replica) *Replica {
	replica, err := New(Options{Node: node, DataFolder: t.TempDir(), Bootstrap: true}, objects)
	require.NoError(t, err)
	t.Cleanup(func() { replica.state.log.Close() })
	listing := directory.Listing{Revision: 1}
	for _, entry := range registered {
		listing.Objects = append(listing.Objects, directory.Object{Name: entry.Node, Replica: &entry})
	}
	replica.nodes.updateReplicas(listing, nil, listing.Revision)
	return replica
}

// A group that is formed without members never gets any.
func TestNoGroupIsFormedBeforeNodesAreKnown(t *testing.T) {
	objects := &groupStore{groups: make(map[string]*replicav1.Group)}
	replica := newFormingReplica(t, objects, "n-0-0", nil)
	replica.formGroups(t.Context())
	require.Empty(t, objects.groups)
	replica = newFormingReplica(t, objects, "n-0-0", fleetNodes(2, 2)[1:])
	replica.formGroups(t.Context())
	require.Empty(t, objects.groups, "its own entry is not listed yet")
}

// Guards against acknowledged turns that lie on one disk: a replica formed its groups alone, as the store turned the others away.
func TestNoGroupIsFormedAloneWhereSeedsNameAnother(t *testing.T) {
	nodes := fleetNodes(1, 3)
	own, other := nodes[0], nodes[1]
	form := func(registered []directory.Replica, seeds ...string) (formed int) {
		objects := &groupStore{groups: make(map[string]*replicav1.Group)}
		replica := newFormingReplica(t, objects, own.Node, registered)
		replica.options.Address = own.Address
		replica.SetSeeds(seeds)
		replica.formGroups(t.Context())
		return len(objects.groups)
	}
	require.Zero(t, form(nodes[:1], other.Address, own.Address))
	require.Zero(t, form(nodes[:1], other.Address), "seeds that do not name itself")
	require.Positive(t, form(nodes[:2], other.Address, own.Address))
	require.Positive(t, form(nodes[:1], own.Address), "a system of one replica")
	require.Positive(t, form(nodes[:1]), "no seeds")
}

// Two nodes form the groups from different lists of nodes.
func TestConcurrentlyFormingNodesAgree(t *testing.T) {
	objects := &groupStore{groups: make(map[string]*replicav1.Group)}
	nodes := fleetNodes(6, 6)
	first, second := newFormingReplica(t, objects, "n-0-0", nodes), newFormingReplica(t, objects, "n-5-5", nodes[6:])
	first.formGroups(t.Context())
	require.Len(t, objects.groups, 12)
	second.formGroups(t.Context())
	require.Len(t, objects.groups, 12)
	require.Equal(t, uint32(12), second.directory.Group(0).Partitions, "the first group that was created determines the number of partitions")

	delete(objects.groups, directory.GroupName(7))
	third := newFormingReplica(t, objects, "n-5-5", nodes)
	third.formGroups(t.Context())
	third.formGroups(t.Context())
	require.Len(t, objects.groups, 12, "a later attempt creates the missing group")
}
