package main

import (
	"errors"

	"github.com/jessevdk/go-flags"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Exit codes of every command. docs/CLI.md lists them.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitRefused  = 4
)

// codesByType has the exit code of every kind of failure that is not exitFailed.
var codesByType = map[failure.Type]int{
	"wrong_use":               exitUsage,
	"bad_flag":                exitUsage,
	"version_conflict":        exitConflict,
	"plan_conflict":           exitConflict,
	"invalid_settings":        exitRefused,
	"unknown_policy":          exitRefused,
	"invalid_declarations":    exitRefused,
	"harm_not_accepted":       exitRefused,
	"unauthenticated":         exitRefused,
	"not_permitted":           exitRefused,
	"malformed_request":       exitRefused,
	"request_too_large":       exitRefused,
	"unknown_plan":            exitRefused,
	"unknown_object":          exitRefused,
	"not_ready":               exitRefused,
	"no_permitted_place":      exitRefused,
	"settings_unreadable":     exitFailed,
	"platform_unavailable":    exitFailed,
	"operator_unreachable":    exitFailed,
	"not_in_force_everywhere": exitFailed,
}

func exitCodeOf(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) {
		return exitUsage
	}
	found, ok := failure.As(err)
	if !ok {
		return exitFailed
	}
	code, listed := codesByType[found.Type()]
	if !listed {
		return exitFailed
	}
	return code
}

// wrongUse reports a command line that the flags alone can't refuse.
type wrongUse struct{ reason string }

func (e *wrongUse) Error() string { return e.reason }

// Type returns "wrong_use".
func (e *wrongUse) Type() failure.Type { return "wrong_use" }

// Outcome returns NotRun.
func (e *wrongUse) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *wrongUse) Retry() failure.Retry { return failure.Retry{} }
