package replica

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// groupObjects is a platform's store that keeps groups.
type groupObjects struct {
	directory.Store
	mutex  sync.Mutex
	groups map[string]*replicav1.Group
}

func (o *groupObjects) Get(_ context.Context, _ directory.Kind, name string) (directory.Object, bool, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	group, found := o.groups[name]
	return directory.Object{Name: name, Group: group}, found, nil
}

func (o *groupObjects) Create(_ context.Context, _ directory.Kind, object directory.Object) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.groups[object.Name] != nil {
		return &directory.Conflict{Name: object.Name}
	}
	o.groups[object.Name] = object.Group
	return nil
}

// former returns a replica that starts with the whole system and knows the nodes.
func former(t *testing.T, objects directory.Store, node string, known []directory.Replica) *Replica {
	created, err := New(Options{Node: node, DataFolder: t.TempDir(), Bootstrap: true}, objects)
	require.NoError(t, err)
	t.Cleanup(func() { created.state.log.Close() })
	listing := directory.Listing{Revision: 1}
	for _, each := range known {
		listing.Objects = append(listing.Objects, directory.Object{Name: each.Node, Replica: &each})
	}
	created.followers.takeReplicas(listing, nil, listing.Revision)
	return created
}

// TestNoGroupIsFormedBeforeNodesAreKnown: a group without members stands for ever.
func TestNoGroupIsFormedBeforeNodesAreKnown(t *testing.T) {
	objects := &groupObjects{groups: make(map[string]*replicav1.Group)}
	early := former(t, objects, "n-0-0", nil)
	early.form(t.Context())
	require.Empty(t, objects.groups)
	early = former(t, objects, "n-0-0", fleet(2, 2)[1:])
	early.form(t.Context())
	require.Empty(t, objects.groups, "its own entry is not in the list yet")
}

// TestConcurrentlyFormingNodesAgree has two nodes form them from different
// lists.
func TestConcurrentlyFormingNodesAgree(t *testing.T) {
	objects := &groupObjects{groups: make(map[string]*replicav1.Group)}
	nodes := fleet(6, 6)
	first, late := former(t, objects, "n-0-0", nodes), former(t, objects, "n-5-5", nodes[6:])
	first.form(t.Context())
	require.Len(t, objects.groups, 12)
	late.form(t.Context())
	require.Len(t, objects.groups, 12)
	require.Equal(t, uint32(12), late.directory.Group(0).Partitions, "the first group that was created tells how many there are")

	delete(objects.groups, directory.GroupName(7))
	again := former(t, objects, "n-5-5", nodes)
	again.form(t.Context())
	again.form(t.Context())
	require.Len(t, objects.groups, 12, "what the first one did not come to is made up for")
}
