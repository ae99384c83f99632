package replication

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventDiskFailed = event.Define(1101, event.Error, "data folder failed; this daemon leaves all its shards",
		"Free or replace the disk, then restart the daemon; it comes back as a new incarnation where its state is not intact.")
	eventTailCut = event.Define(1102, event.Warning, "journal entries without a valid checksum cut off",
		"Check the disk. The daemon took a new incarnation if acknowledged entries were lost.")
	eventStateLost = event.Define(1103, event.Warning, "data folder set aside; the daemon starts as a new incarnation",
		"None at once; the shards' leaders admit the daemon again. Check the disk if this repeats.")
	eventLeading     = event.Define(1104, event.Info, "leads the shard", "")
	eventNotLeading  = event.Define(1105, event.Info, "no longer leads the shard", "")
	eventRemoved     = event.Define(1106, event.Info, "replica removed; the group goes on without this daemon", "")
	eventSnapshotBad = event.Define(1107, event.Error, "state machine refused a snapshot or record; replica dropped",
		"Compare the versions of the group's daemons, then restart this one without its data folder.")
	eventSnapshotFailed = event.Define(1108, event.Error, "state machine gave no snapshot",
		"Members that lag cannot catch up; file a report with the shard's number.")
)
