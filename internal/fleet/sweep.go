package fleet

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// How long an orphan may last: its holder must be on the engine's list in two
// sweeps that lie at least orphanGrace apart, so it is released at the second
// sweep, two intervals with their jitter after it came to be at the latest, plus
// the time that releases before it take at releasesPerSecond. A holder that the
// journal knew is asked about again after knownFor. The interval grows with what
// the lists took, so that reading them stays within sweepBytesPerSecond, up to
// maxSweepInterval.
const (
	// orphanGrace is longer than an engine can take between a program's hold
	// being recorded and the record being known to the shard's leader.
	orphanGrace         = 5 * time.Second
	knownFor            = 5 * time.Minute
	releasesPerSecond   = 20
	sweepBatch          = 256
	maxSweepInterval    = time.Minute
	sweepBytesPerSecond = 512
	// holderBytes is what a holder takes on a list.
	holderBytes = 46
)

var (
	eventOrphanReleased = event.Define(1304, event.Warning, "memory that an engine held for no program was released",
		"Now and then this follows a crash. Often: look for daemons that lose their memory.")
	eventOrphanKept = event.Define(1305, event.Warning, "memory that an engine holds for no program could not be released",
		"It is tried again at the next sweep. Check the engine.")
)

// sweeper compares what engines hold with the journal.
type sweeper struct {
	fleet *Fleet
	// seen has the holders of each engine incarnation this daemon sweeps.
	seen     map[sweptEngine]map[structs.ProgramID]*sweptHolder
	releases *rate.Limiter
}

type sweptEngine struct {
	id          structs.EngineID
	incarnation structs.Incarnation
}

type sweptHolder struct {
	first time.Time
	// knownAt is when the journal last knew the holder.
	knownAt time.Time
}

// sweep runs sweeps until the context ends.
func (f *Fleet) sweep(ctx context.Context) {
	s := &sweeper{
		fleet:    f,
		seen:     map[sweptEngine]map[structs.ProgramID]*sweptHolder{},
		releases: rate.NewLimiter(releasesPerSecond, releasesPerSecond),
	}
	for pause.For(ctx, jittered(s.interval())) {
		s.run(ctx)
	}
}

// interval returns the time until the next sweep.
func (s *sweeper) interval() time.Duration {
	holders := 0
	for _, seen := range s.seen {
		holders += len(seen)
	}
	affordable := time.Duration(holders) * holderBytes * time.Second / sweepBytesPerSecond
	shortest := s.fleet.options.SweepInterval
	return max(shortest, min(affordable, maxSweepInterval))
}

// run sweeps each engine that falls to this daemon, once.
func (s *sweeper) run(ctx context.Context) {
	configuration := s.fleet.options.Configuration()
	if configuration == nil {
		return
	}
	swept := map[sweptEngine]bool{}
	duties := dutiesOf(s.fleet.options.Self, s.fleet.options.Nodes())
	for _, endpoint := range Endpoints(&configuration.Declarations) {
		if ctx.Err() == nil && duties.first(string(endpoint.ID), endpoint.Zone) {
			swept[s.engine(ctx, endpoint)] = true
		}
	}
	for engine := range s.seen {
		if !swept[engine] {
			delete(s.seen, engine)
		}
	}
}

// engine compares one engine's holders and returns which incarnation it was.
func (s *sweeper) engine(ctx context.Context, endpoint Endpoint) sweptEngine {
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	list, err := s.fleet.options.Engines.Holds(requestContext, endpoint.Address)
	if err != nil {
		// What was seen of a living incarnation is kept for the next sweep.
		return s.lastSeen(endpoint.ID)
	}
	engine := sweptEngine{endpoint.ID, list.Incarnation}
	suspects := s.suspects(engine, list.Holders)
	for len(suspects) > 0 {
		batch := suspects[:min(len(suspects), sweepBatch)]
		suspects = suspects[len(batch):]
		s.check(ctx, endpoint, engine, batch)
	}
	return engine
}

func (s *sweeper) lastSeen(id structs.EngineID) sweptEngine {
	for engine := range s.seen {
		if engine.id == id {
			return engine
		}
	}
	return sweptEngine{id: id}
}

// suspects notes the holders and returns those to ask the journal about: seen
// for longer than the grace period, and not known of late.
func (s *sweeper) suspects(engine sweptEngine, holders []structs.ProgramID) []structs.ProgramID {
	now := s.fleet.now()
	former := s.seen[engine]
	current := make(map[structs.ProgramID]*sweptHolder, len(holders))
	var suspects []structs.ProgramID
	for _, holder := range holders {
		noted, known := former[holder]
		if !known {
			noted = &sweptHolder{first: now}
		}
		current[holder] = noted
		if now.Sub(noted.first) >= orphanGrace && (noted.knownAt.IsZero() || now.Sub(noted.knownAt) >= knownFor) {
			suspects = append(suspects, holder)
		}
	}
	s.seen[engine] = current
	return suspects
}

// check releases those of the holders that the journal does not know.
func (s *sweeper) check(ctx context.Context, endpoint Endpoint, engine sweptEngine, holders []structs.ProgramID) {
	orphans := s.fleet.options.Orphans(ctx, engine.id, engine.incarnation, holders)
	isOrphan := make(map[structs.ProgramID]bool, len(orphans))
	for _, orphan := range orphans {
		isOrphan[orphan] = true
	}
	now := s.fleet.now()
	for _, holder := range holders {
		if !isOrphan[holder] {
			s.seen[engine][holder].knownAt = now
		}
	}
	for _, orphan := range orphans {
		if s.releases.Wait(ctx) != nil {
			return
		}
		s.release(ctx, endpoint, engine, orphan)
	}
}

func (s *sweeper) release(ctx context.Context, endpoint Endpoint, engine sweptEngine, orphan structs.ProgramID) {
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	err := s.fleet.options.Engines.Release(requestContext, endpoint.Address, engine.incarnation, orphan)
	if err != nil && !failure.IsType(err, "engine_gone") {
		eventOrphanKept.Log("engine", engine.id, "program", orphan, "cause", err)
		return
	}
	eventOrphanReleased.Log("engine", engine.id, "program", orphan)
}
