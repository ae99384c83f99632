package main

import (
	"os/signal"
	"syscall"
)

// ignoreReload keeps SIGHUP from ending a role. A role's addresses and folder
// hold for its life; what may change while it runs comes with the
// configuration.
func ignoreReload() { signal.Ignore(syscall.SIGHUP) }
