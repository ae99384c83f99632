package directory

import (
	"maps"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// LogChanges returns a function that logs the differences between each view and the previous one.
func LogChanges() func(*View, WorkerUpdate) {
	previous := &View{}
	return func(next *View, update WorkerUpdate) {
		if next.Table != previous.Table {
			eventConfiguration.Log("version", next.Table.Version(), "routes", len(next.Table.Configuration().Routes))
		}
		logWorkers(update)
		logZoneDrains(previous.Drains, next.Drains)
		previous = next
	}
}

func logZoneDrains(previous, next ZoneDrains) {
	if next.Known() && (!previous.Known() || !maps.Equal(previous.zones, next.zones)) {
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
		eventWorkers.Log("in", truncateForLog(update.Added), "out", truncateForLog(update.Removed), "lapsed", truncateForLog(update.Lapsed),
			"in_count", len(update.Added), "out_count", len(update.Removed), "lapsed_count", len(update.Lapsed))
	}
}

// maxLoggedWorkers limits the worker IDs in one log line. Listing a whole fleet that registers at
// once would write hundreds of kilobytes in each process.
const maxLoggedWorkers = 20

func truncateForLog(workers []string) []string { return workers[:min(maxLoggedWorkers, len(workers))] }
