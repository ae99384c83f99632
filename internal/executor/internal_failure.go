package executor

import "github.com/barleyshelf/barleyshelf/internal/failure"

// logInternalFailure logs err if it is not a failure of a known type, and returns it.
func (e *Executor) logInternalFailure(err error) error {
	if err != nil && failure.Classify(err).Type() == (&failure.Internal{}).Type() {
		eventInternal.Log("cause", err)
	}
	return err
}
