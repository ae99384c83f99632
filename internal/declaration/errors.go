package declaration

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Unreadable reports a file or directory of declarations that can't be read.
type Unreadable struct {
	// Path is the file or directory.
	Path string
	// Cause is the operating system's error.
	Cause error
}

func (e *Unreadable) Error() string { return fmt.Sprintf("declarations %s: %v", e.Path, e.Cause) }

// Type returns "declarations_unreadable".
func (e *Unreadable) Type() failure.Type { return "declarations_unreadable" }

// Outcome returns NotRun.
func (e *Unreadable) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat before the files are there.
func (e *Unreadable) Retry() failure.Retry { return failure.Retry{} }

// Unwrap returns the cause.
func (e *Unreadable) Unwrap() error { return e.Cause }
