package operator

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventPlanMade = event.Define(1600, event.Info, "plan made", "")
	eventApplied  = event.Define(1601, event.Info, "plan accepted", "")
	eventConflict = event.Define(1602, event.Warning, "plan refused: its base is no longer in force",
		"look at the accepted change with `barleyshelf get audit`, then plan again")
	eventApplyUnknown = event.Define(1603, event.Warning, "platform did not answer whether a plan is in force",
		"apply the same plan again: it settles the matter and has one effect")
	eventDrainNode   = event.Define(1605, event.Info, "planned stop of a daemon asked for", "")
	eventArchiveLate = event.Define(1604, event.Warning, "audit record not yet copied out of the root object",
		"nothing: the next change copies it first; check the platform if it comes often")
)
