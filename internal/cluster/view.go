package cluster

import (
	"cmp"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// View is the members at one moment. It is immutable.
type View struct {
	// Nodes are all known daemons by id, also those removed not long ago.
	Nodes []structs.Node
}

func newView(nodes []structs.Node) *View {
	slices.SortFunc(nodes, func(a, b structs.Node) int { return cmp.Compare(a.ID, b.ID) })
	return &View{Nodes: nodes}
}

// Node returns a daemon by its id.
func (v *View) Node(id structs.NodeID) (structs.Node, bool) {
	at, found := slices.BinarySearchFunc(v.Nodes, id, func(node structs.Node, id structs.NodeID) int {
		return cmp.Compare(node.ID, id)
	})
	if !found {
		return structs.Node{}, false
	}
	return v.Nodes[at], true
}

// Members returns the daemons that were not removed.
func (v *View) Members() []structs.Node {
	members := make([]structs.Node, 0, len(v.Nodes))
	for _, node := range v.Nodes {
		if node.State != structs.NodeDead {
			members = append(members, node)
		}
	}
	return members
}
