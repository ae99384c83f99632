package directory

import (
	"context"
	"sync"
	"time"
)

// outage is a period in which the store does not answer. Only one kind, the prober, retries its
// calls; the other kinds wait for it. This limits the retries to one call per process instead of
// one per kind.
type outage struct {
	mutex sync.Mutex
	// probing is set while a kind retries on behalf of all kinds; prober is that kind.
	probing bool
	prober  Kind
	// over is closed when the store answers.
	over chan struct{}
}

func newOutage() *outage { return &outage{over: make(chan struct{})} }

// waitToRetry waits after a failed call: the prober waits for the given delay, other kinds until
// the outage ends. The first kind that calls it becomes the prober.
func (o *outage) waitToRetry(ctx context.Context, kind Kind, delay time.Duration) {
	o.mutex.Lock()
	if !o.probing {
		o.probing, o.prober = true, kind
	}
	var expired <-chan time.Time
	if o.prober == kind {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		expired = timer.C
	}
	over := o.over
	o.mutex.Unlock()
	select {
	case <-expired:
	case <-over:
	case <-ctx.Done():
	}
}

// end ends the outage and wakes all waiting kinds.
func (o *outage) end() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.probing {
		return
	}
	o.probing = false
	close(o.over)
	o.over = make(chan struct{})
}

// releaseProber ends the outage if the given kind, which is no longer watched, was the prober, so
// that another kind can take over.
func (o *outage) releaseProber(kind Kind) {
	o.mutex.Lock()
	isProber := o.probing && o.prober == kind
	o.mutex.Unlock()
	if isProber {
		o.end()
	}
}
