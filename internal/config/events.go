package config

import "github.com/barleyshelf/barleyshelf/internal/event"

var (
	eventInForce = event.Define(1420, event.Info, "configuration in force", "")
	eventStorage = event.Define(1421, event.Error, "configuration can't be kept in the data folder",
		"Check the folder's disk. The daemon goes on, but after a restart it must hear of its version again.")
	eventBadDelta = event.Define(1422, event.Warning, "configuration delta dropped",
		"None: the daemon fetches the whole. If it repeats, compare the programs' versions.")
	eventBadWhole = event.Define(1423, event.Warning, "whole configuration dropped",
		"None: the daemon asks another peer. If it repeats, compare the programs' versions.")
	eventPlatform = event.Define(1424, event.Warning, "platform gives no configuration",
		"Check the platform's object API. The configuration in force stays.")
	eventLagging = event.Define(1425, event.Warning, "platform answered with an old configuration",
		"None: it is ignored. If it lasts, the platform's store lags or was restored from a backup.")
	eventUnreadable = event.Define(1426, event.Error, "configuration object can't be read",
		"Repair the root object; the configuration in force stays.")
)
