package cluster

import (
	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var (
	eventNodeAlive = event.Define(1400, event.Info, "daemon is alive", "")
	eventNodeLeave = event.Define(1401, event.Info, "daemon is leaving", "")
	eventSuspected = event.Define(1402, event.Warning, "daemon is suspected",
		"None at once. If it stays suspected, see whether its zone is cut off and whether its process runs.")
	eventNodeRemoved = event.Define(1403, event.Warning, "daemon was removed or left",
		"If it was not stopped on purpose, start it again or replace its machine.")
	eventSelfRemoved = event.Define(1404, event.Error, "this daemon was removed by the others",
		"It rejoins by itself. Look for pauses of the process or losses on its network.")
	eventZoneUnreachable = event.Define(1405, event.Error, "zone is unreachable",
		"Check the network between the zones. Daemons there stay members and come back by themselves.")
	eventZoneReachable = event.Define(1406, event.Info, "zone is reachable again", "")
)

func logNode(node structs.Node) {
	keysAndValues := []any{"node", node.ID, "incarnation", node.Incarnation, "zone", node.Zone}
	switch node.State {
	case structs.NodeAlive:
		eventNodeAlive.Log(keysAndValues...)
	case structs.NodeLeaving:
		eventNodeLeave.Log(keysAndValues...)
	case structs.NodeSuspect:
		eventSuspected.Log(keysAndValues...)
	case structs.NodeDead:
		eventNodeRemoved.Log(keysAndValues...)
	}
}
