package platform

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// BadAddress reports an address that is no base URL: a mistake in the settings.
type BadAddress struct {
	Address string
	Cause   error
}

func (e *BadAddress) Error() string {
	return fmt.Sprintf("bad platform address %q: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *BadAddress) Unwrap() error { return e.Cause }

// Type returns "platform_unavailable", as the platform cannot be reached.
func (e *BadAddress) Type() failure.Type { return "platform_unavailable" }

// Outcome returns NotRun: nothing was sent.
func (e *BadAddress) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to send the request again.
func (e *BadAddress) Retry() failure.Retry { return failure.Retry{Allowed: true, After: time.Minute} }
