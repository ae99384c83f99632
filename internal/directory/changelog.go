package directory

import (
	"maps"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// LogChanges returns a function that logs how each view differs from the one
// before it.
func LogChanges() func(*View, WorkerUpdate) {
	before := &View{}
	return func(next *View, update WorkerUpdate) {
		if next.Table != before.Table {
			eventConfiguration.Log("version", next.Table.Version(), "routes", len(next.Table.Configuration().Routes))
		}
		logWorkers(update)
		logZoneDrains(before.Drains, next.Drains)
		before = next
	}
}

func logZoneDrains(before, next ZoneDrains) {
	if next.Known() && (!before.Known() || !maps.Equal(before.zones, next.zones)) {
		eventZoneDrains.Log("zones", next.Zones(), "revision", next.Revision)
	}
}

func memberNodes(group *replicav1.Group) []string {
	nodes := make([]string, 0, len(group.Members))
	for _, member := range group.Members {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

func logWorkers(update WorkerUpdate) {
	if len(update.Added)+len(update.Removed)+len(update.Lapsed) > 0 {
		eventWorkers.Log("in", named(update.Added), "out", named(update.Removed), "lapsed", named(update.Lapsed),
			"in_count", len(update.Added), "out_count", len(update.Removed), "lapsed_count", len(update.Lapsed))
	}
}

// maxNamed is how many workers one line names: a whole fleet that comes in at once would be
// hundreds of kilobytes in each process.
const maxNamed = 20

func named(workers []string) []string { return workers[:min(maxNamed, len(workers))] }
