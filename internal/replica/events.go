package replica

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventStarted                = event.Define(2701, event.Info, "replica started", "")
	eventFailed                 = event.Define(2722, event.Error, "replica terminated unexpectedly", "Check the cause; a process that panics writes its stack trace to standard error.")
	eventStopped                = event.Define(2702, event.Info, "replica stopped", "")
	eventIncarnationStarted     = event.Define(2703, event.Info, "replica started a new incarnation in a seat of the group", "")
	eventRecovered              = event.Define(2704, event.Info, "replica holds all records of its seat", "")
	eventWriteFailed            = event.Define(2705, event.Error, "write to the data folder failed", "Free disk space or replace the disk; the other replicas continue to serve.")
	eventProposed               = event.Define(2706, event.Info, "new group proposed", "")
	eventNotProposed            = event.Define(2724, event.Warning, "group proposal failed", "Check the members and the connections to them; a change that can wait needs each of them, any other one a majority.")
	eventNotStored              = event.Define(2727, event.Warning, "group is missing in the platform's store", "Check the store and this machine's connection to it. The members know the group; processes that know no member find it once the store has it.")
	eventToleratedLosses        = event.Define(2725, event.Info, "number of disk losses that a group tolerates has changed", "Below one, do not stop or lose a further replica; empty lists the members to restore.")
	eventStoppedUnderReplicated = event.Define(2726, event.Warning, "grace period of a stopping replica ended before enough other members of its group were in sync", "Keep this machine and its disk until event 2725 reports that the group tolerates a disk loss.")
	eventRetired                = event.Define(2707, event.Info, "retirement completed; the node is no longer needed", "")
	eventCopied                 = event.Define(2709, event.Info, "replica has copied the records of its seat", "")
	eventUnreadable             = event.Define(2710, event.Error, "stored turn cannot be read", "Check the disk; the other replicas are queried.")
	eventCopyInterrupted        = event.Define(2711, event.Warning, "copy of a seat's records from a source was interrupted; it resumes where it stopped", "If this repeats for seconds, check the source and the connection to it.")
	eventCopyPending            = event.Define(2712, event.Warning, "records of a seat cannot be copied yet", "Restore the sources that do not respond; a group with more lost disks than it tolerates waits forever.")
	eventSystemUnknown          = event.Define(2721, event.Warning, "replica without records cannot learn its system from the platform's store; it accepts only a group that lists it at an address of this process", "Check the store and the connection to it. A replica that no group lists at its address waits for the store.")
	eventGroupVerified          = event.Define(2723, event.Info, "replica without records accepted a group that lists it at an address of this process", "")
	eventStraySeat              = event.Define(2718, event.Error, "seat not taken: its group is confined to another region", "Check the zones in the settings of all replicas; they must agree.")
	eventUnderReplicated        = event.Define(2719, event.Warning, "group is under-replicated: members are not in sync, so it tolerates fewer losses", "Restore the members, or add a replica; if standbys are listed, check whether they respond.")
	eventFullyReplicated        = event.Define(2720, event.Info, "all members of a group are in sync again", "")
	eventLoanReturnFailed       = event.Define(2760, event.Warning, "expired loans cannot be returned yet", "If this repeats, check the connections to the other replicas.")
	eventFolderDamaged          = event.Define(2708, event.Warning, "data folder damaged; the replica starts empty", "Check the disk if this repeats; the replica recovers from the others.")
)
