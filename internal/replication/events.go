package replication

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventDiskFailed = event.Define(1101, event.Error, "data folder failed; this daemon stopped all its replicas",
		"Free space on the disk or replace it, then restart the daemon. It starts as a new incarnation if its state is not intact.")
	eventLogTailTruncated = event.Define(1102, event.Warning, "truncated the stored journal at an entry with an invalid checksum",
		"Check the disk. The daemon starts as a new incarnation if acknowledged entries were lost.")
	eventStateCorrupt = event.Define(1103, event.Warning, "stored state is corrupt; renamed the database and starting as a new incarnation",
		"No immediate action; the shards' leaders add the daemon to their groups again. Check the disk if this repeats.")
	eventBecameLeader         = event.Define(1104, event.Info, "became leader of the shard", "")
	eventLostLeadership       = event.Define(1105, event.Info, "lost leadership of the shard", "")
	eventReplicaRemoved       = event.Define(1106, event.Info, "replica removed; this daemon is no longer a member of the group", "")
	eventStateMachineRejected = event.Define(1107, event.Error, "state machine rejected a snapshot or record; stopped the replica",
		"Compare the versions of the daemons in the group, then restart this daemon without its data folder.")
	eventSnapshotFailed = event.Define(1108, event.Error, "state machine failed to create a snapshot",
		"Lagging members cannot catch up. File a report that names the shard.")
)
