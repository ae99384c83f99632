package executor

import "github.com/barleyshelf/barleyshelf/internal/failure"

// note logs err where it is of no known kind, and returns it.
func (e *Executor) note(err error) error {
	if err != nil && failure.Classify(err).Type() == (&failure.Internal{}).Type() {
		eventInternal.Log("cause", err)
	}
	return err
}
