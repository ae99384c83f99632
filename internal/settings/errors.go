package settings

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Unreadable reports a settings file that can't be read.
type Unreadable struct {
	// Path is the file.
	Path string
	// Cause is the operating system's error.
	Cause error
}

func (e *Unreadable) Error() string { return fmt.Sprintf("settings file %s: %v", e.Path, e.Cause) }

// Type returns "settings_unreadable".
func (e *Unreadable) Type() failure.Type { return "settings_unreadable" }

// Outcome returns NotRun.
func (e *Unreadable) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat before the file is there.
func (e *Unreadable) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *Unreadable) Unwrap() error { return e.Cause }

// BadFlag reports a flag whose value can't be read.
type BadFlag struct {
	// Cause is the command line library's error.
	Cause error
}

func (e *BadFlag) Error() string { return fmt.Sprintf("flag: %v", e.Cause) }

// Type returns "bad_flag".
func (e *BadFlag) Type() failure.Type { return "bad_flag" }

// Outcome returns NotRun.
func (e *BadFlag) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *BadFlag) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *BadFlag) Unwrap() error { return e.Cause }
