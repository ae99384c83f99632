package fleet

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// cacheInterval is how often an engine that this daemon sent work to is asked
// for its cache events.
const cacheInterval = 2 * time.Second

// readCacheEvents asks the engines in turn, spread over the interval. Events
// that could not be read are asked for again; those that an engine dropped are
// lost, which is why none of them is proof.
func (f *Fleet) readCacheEvents(ctx context.Context) {
	read := map[structs.EngineID]cachePosition{}
	for {
		used := f.usedEngines()
		wait := cacheInterval / time.Duration(max(len(used), 1))
		if len(used) == 0 && !pause.For(ctx, cacheInterval) {
			return
		}
		for _, engine := range used {
			if !pause.For(ctx, wait) {
				return
			}
			read[engine.endpoint.ID] = f.readEngineEvents(ctx, engine, read[engine.endpoint.ID])
		}
	}
}

// cachePosition is how far an engine's events were read.
type cachePosition struct {
	incarnation structs.Incarnation
	sequence    uint64
}

// usedEngines returns the engines that this daemon sent work to of late.
func (f *Fleet) usedEngines() []*follower {
	var used []*follower
	for _, engine := range f.followed.Load().list {
		if engine.report.Load() != nil && engine.sent.used(f.now()) {
			used = append(used, engine)
		}
	}
	return used
}

func (f *Fleet) readEngineEvents(ctx context.Context, engine *follower, from cachePosition) cachePosition {
	// Numbers begin again with each incarnation.
	if report := engine.report.Load(); report.Incarnation != from.incarnation {
		from = cachePosition{incarnation: report.Incarnation}
	}
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	events, err := f.options.Engines.CacheEvents(requestContext, engine.endpoint.Address, from.sequence)
	if err != nil {
		return from
	}
	for _, e := range events {
		if e.Incarnation != from.incarnation {
			return cachePosition{}
		}
		f.options.CacheEvent(engine.endpoint.ID, e)
		from.sequence = max(from.sequence, e.Sequence)
	}
	return from
}
