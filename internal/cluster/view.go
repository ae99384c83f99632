package cluster

import (
	"cmp"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// View is the members at one moment. It is immutable.
type View struct {
	// Nodes are all known daemons by id, also those removed not long ago.
	Nodes []structs.Node
}

// NewView returns the view of the nodes. It takes the slice over.
func NewView(nodes []structs.Node) *View {
	slices.SortFunc(nodes, func(a, b structs.Node) int { return cmp.Compare(a.ID, b.ID) })
	return &View{Nodes: nodes}
}

// With returns the view after nodes changed or became known, and others were
// forgotten.
func (v *View) With(changed []structs.Node, forgotten []structs.NodeID) *View {
	nodes := slices.Clone(v.Nodes)
	for _, node := range changed {
		at, known := find(nodes, node.ID)
		if known {
			nodes[at] = node
		} else {
			nodes = slices.Insert(nodes, at, node)
		}
	}
	for _, id := range forgotten {
		if at, known := find(nodes, id); known {
			nodes = slices.Delete(nodes, at, at+1)
		}
	}
	return &View{Nodes: nodes}
}

// After returns the view after the events of a step; the same one if none
// changed it.
func (v *View) After(events []membership.Event) *View {
	var changed []structs.Node
	var forgotten []structs.NodeID
	for _, event := range events {
		switch event.Kind {
		case membership.NodeChanged:
			changed = append(changed, event.Node)
		case membership.NodeExpired:
			forgotten = append(forgotten, event.Node.ID)
		}
	}
	if len(changed) == 0 && len(forgotten) == 0 {
		return v
	}
	return v.With(changed, forgotten)
}

// Node returns a daemon by its id.
func (v *View) Node(id structs.NodeID) (structs.Node, bool) {
	at, found := find(v.Nodes, id)
	if !found {
		return structs.Node{}, false
	}
	return v.Nodes[at], true
}

func find(nodes []structs.Node, id structs.NodeID) (int, bool) {
	return slices.BinarySearchFunc(nodes, id, func(node structs.Node, id structs.NodeID) int {
		return cmp.Compare(node.ID, id)
	})
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
