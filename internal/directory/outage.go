package directory

import (
	"context"
	"sync"
	"time"
)

// outage is a time in which the store does not answer. One kind's calls find out when it
// does again; those of the others wait for that, so that a call is made for each process
// and not for each kind.
type outage struct {
	mutex sync.Mutex
	// probing is set while a kind probes for all; prober is that kind.
	probing bool
	prober  Kind
	// over is closed when the store answers.
	over chan struct{}
}

func newOutage() *outage { return &outage{over: make(chan struct{})} }

// pause waits after a failed call: for the time given where the kind is the one that
// probes, else until the outage is over.
func (o *outage) pause(ctx context.Context, kind Kind, wait time.Duration) {
	o.mutex.Lock()
	if !o.probing {
		o.probing, o.prober = true, kind
	}
	var timeout <-chan time.Time
	if o.prober == kind {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	over := o.over
	o.mutex.Unlock()
	select {
	case <-timeout:
	case <-over:
	case <-ctx.Done():
	}
}

// end lets all kinds go on.
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

// leave makes room for another kind to probe where the one that did is not followed any
// more.
func (o *outage) leave(kind Kind) {
	o.mutex.Lock()
	prober := o.probing && o.prober == kind
	o.mutex.Unlock()
	if prober {
		o.end()
	}
}
