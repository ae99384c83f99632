package executor

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventWorkerFailed = event.Define(1201, event.Warning, "work on a program failed and is tried again",
		"Look at the failure's type; a shard without a majority shows as shard_unavailable.")
	eventAttemptLost = event.Define(1202, event.Warning, "an attempt of a model call was lost",
		"Look at the engine named; the call went to another one unless final is true.")
	eventReleaseFailed = event.Define(1203, event.Warning, "engine memory of an ended program could not be released yet",
		"Look at the engine named; the release is tried again until the engine confirms it or restarts.")
	eventDutyFailed = event.Define(1204, event.Warning, "a duty towards a program failed and is tried again",
		"Look at the cause.")
	eventProgramEnded = event.Define(1205, event.Info, "a program was ended without its caller", "")
	eventMoveFailed   = event.Define(1206, event.Info, "cache could not be copied between engines", "")
	eventInternal     = event.Define(1208, event.Error, "a request ended with a failure of no known kind",
		"Report it with the cause; the caller was told that the outcome is unknown.")
	eventOrphan = event.Define(1207, event.Warning, "an engine held memory for a program that the journal has no hold of; it was released",
		"Rare ones follow a daemon's crash. Many point to an engine that keeps memory after a release.")
)
