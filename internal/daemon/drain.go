package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// leaveNotice is how long peers have to see that the daemon is leaving, and
// requests that were already on their way to arrive, before new ones are refused.
const leaveNotice = 300 * time.Millisecond

// activeRequests counts callers' requests under way on this daemon.
type activeRequests struct {
	mutex sync.Mutex
	count int
	idle  chan struct{}
}

func (a *activeRequests) begin() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count++
}

func (a *activeRequests) end() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// waitIdle returns once no request is under way, or with ctx.
func (a *activeRequests) waitIdle(ctx context.Context) error {
	a.mutex.Lock()
	if a.count == 0 {
		a.mutex.Unlock()
		return nil
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// logHandOver tells which shard was not handed over, and how it stands.
func (c *core) logHandOver(cause error) {
	var unavailable *failure.ShardUnavailable
	if !errors.As(cause, &unavailable) {
		eventHandOverFailed.Log("cause", cause)
		return
	}
	status, _ := c.host.Status(structs.ShardID(unavailable.Shard))
	eventHandOverFailed.Log("shard", unavailable.Shard, "role", status.Role, "leader", status.Leader,
		"term", status.Term, "members", status.Members, "leaving", status.RemovalPending)
}

// Stop is the planned stop. The daemon says that it is leaving, soon refuses new
// programs and calls, lets tool calls end, hands its shards over, finishes the answers that callers
// are reading here, and leaves the cluster. Streams of models go on under the
// next leader; the callers' connections to this daemon last until their answers
// are whole. It returns early, with what ctx or the drain timeout ended.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.DrainTimeoutMilliseconds)*time.Millisecond)
	defer cancel()
	if !d.stopping.CompareAndSwap(false, true) {
		return nil
	}
	eventDraining.Log("node", d.self.ID)
	d.cluster.Announce()
	pause.For(ctx, leaveNotice)
	d.draining.Store(true)
	running := d.core.Load()
	err := running.executor.Quiesce(ctx)
	if handed := running.host.Drain(ctx); handed != nil {
		running.logHandOver(handed)
		err = handed
	}
	if waited := d.active.waitIdle(ctx); waited != nil {
		err = waited
	}
	if left := d.cluster.Leave(ctx); left != nil {
		err = left
	}
	d.Kill()
	eventStopped.Log("node", d.self.ID, "cause", err)
	return err
}
