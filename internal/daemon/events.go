package daemon

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventStarted     = event.Define(1001, event.Info, "daemon started", "")
	eventDraining    = event.Define(1002, event.Info, "planned stop begun", "")
	eventStopped     = event.Define(1003, event.Info, "planned stop done", "")
	eventCloseFailed = event.Define(1004, event.Warning, "closing the journal failed",
		"Look at the data folder; what is on other replicas is not affected.")
	eventHandOverFailed = event.Define(1005, event.Warning, "replicas could not all be handed over before the stop",
		"The groups repair themselves from the other replicas; see that no second machine of the same groups is stopped meanwhile.")
	eventGroupsMade = event.Define(1006, event.Info, "first replica groups of a placement domain made", "")
	eventGroupsWait = event.Define(1007, event.Info, "waiting for daemons in the zones of a placement domain",
		"Start daemons in the zones named.")
	eventServeFailed = event.Define(1008, event.Error, "a listener failed",
		"Look at the cause; the daemon cannot be reached on that address.")
	eventCreateFailed = event.Define(1009, event.Error, "a replica could not be created",
		"Look at the data folder.")
	eventNoLeader = event.Define(1011, event.Warning, "shards that this daemon is a member of have no leader for some seconds",
		"no_replica: the place of the shard is known and its replica was never made here. no_leader: see which members are silent, and which refuse.")
	eventPolicyUnknown = event.Define(1010, event.Warning, "the declared scheduling policy is not known here; the default is used",
		"Upgrade the daemon, or correct the declaration.")
)
