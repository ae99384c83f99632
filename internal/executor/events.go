package executor

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventWorkerFailed = event.Define(1201, event.Warning, "processing the calls of a program failed; retrying",
		"Check the failure type; a shard without a majority is reported as shard_unavailable.")
	eventAttemptLost = event.Define(1202, event.Warning, "an attempt of a model call ended without a complete answer",
		"Check the engine named; the call is sent to another engine unless final is true.")
	eventReleaseFailed = event.Define(1203, event.Warning, "releasing the engine memory of an ended program failed; retrying",
		"Check the engine named; the release is retried until the engine confirms it or restarts.")
	eventDutyFailed = event.Define(1204, event.Warning, "performing a duty of a program failed; retrying",
		"Check the cause.")
	eventProgramEnded = event.Define(1205, event.Info, "a program was ended without a request of its caller", "")
	eventMoveFailed   = event.Define(1206, event.Info, "copying cache between engines failed", "")
	eventInternal     = event.Define(1208, event.Error, "a request failed with an error of unknown type",
		"Report it as a bug with the cause; the caller was told that the outcome is unknown.")
	eventOrphan = event.Define(1207, event.Warning, "an engine held memory for a program without a hold in the journal; the memory was released",
		"Rare occurrences follow a daemon crash. Frequent ones indicate an engine that keeps memory after a release.")
)
