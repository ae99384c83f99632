package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
	"github.com/barleyshelf/barleyshelf/internal/zonehealth"
)

const (
	// zonesLooked is how often it is looked which zones are to be probed: short against what
	// a client waits for its first event.
	zonesLooked = 50 * time.Millisecond
	// judgementPoll is the time between two looks whether a suspected zone is lost.
	judgementPoll = 10 * time.Millisecond
	// workersProbed is how many workers a probe of a suspected zone asks: one may be away by
	// itself.
	workersProbed = 2
	// workersDrawn is from how many of each service they are drawn, so that not all gateways
	// ask the same ones.
	workersDrawn = 64
	// entryLag is within what time of the begin of a cut the entry gives a zone's clients
	// other gateways: it asks for readiness once a second and believes two misses.
	entryLag = 3 * time.Second
)

var (
	eventZoneLost   = event.Define(2831, event.Warning, "nobody in a zone answers; its workers are passed over", "Look at the links to the zone, and whether it has power.")
	eventZoneBack   = event.Define(2832, event.Info, "a zone answers again", "")
	eventZoneCutOff = event.Define(2833, event.Warning, "no other zone answers; this gateway is not ready", "Look at the links between this zone and the others.")
	eventZoneJoined = event.Define(2834, event.Info, "another zone answers this gateway again", "")
)

// zoneWatch knows which zones this gateway reaches. It gives up attempts that may be repeated
// when the zone of their worker is lost.
type zoneWatch struct {
	gateway  *Gateway
	detector *zonehealth.Detector

	mutex sync.Mutex
	// attempts are those that end when their zone is lost, by zone.
	attempts map[string]map[*zoneAttempt]bool
	probing  map[string]bool
	// cutOff is what was last told of the own zone.
	cutOff bool
}

// zoneAttempt is an attempt at a worker of a zone.
type zoneAttempt struct{ cancel context.CancelCauseFunc }

func newZoneWatch(g *Gateway) *zoneWatch {
	return &zoneWatch{
		gateway: g, detector: zonehealth.NewDetector(g.options.Zone),
		attempts: make(map[string]map[*zoneAttempt]bool), probing: make(map[string]bool),
	}
}

// run probes zones from which nothing was heard, until ctx ends.
func (w *zoneWatch) run(ctx context.Context) {
	for pause.For(ctx, zonesLooked) {
		members := w.gateway.quorum.MemberAddressesByZone()
		names := make([]string, 0, len(members))
		for name := range members {
			names = append(names, name)
		}
		now := time.Now()
		w.detector.SetZones(now, names)
		for name, addresses := range members {
			for _, address := range addresses {
				w.logReturn(name, w.detector.RecordReplicaAnswer(name, w.gateway.quorum.LastAnswerTime(address)))
			}
		}
		for _, name := range w.detector.ZonesToProbe(now) {
			w.probe(ctx, name, members[name])
		}
		w.logCutOff()
	}
}

// answered notes that a worker of a zone answered a request.
func (w *zoneWatch) answered(name string) {
	w.logReturn(name, w.detector.RecordAnswer(name, time.Now()))
}

// logReturn logs that a zone answers again, if it does.
func (w *zoneWatch) logReturn(name string, returned bool) {
	if returned {
		eventZoneBack.Log("zone", name)
	}
}

// probe asks machines of a zone whether they answer, one probe of a zone at a time.
func (w *zoneWatch) probe(ctx context.Context, name string, replicas []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.probing[name] {
		return
	}
	w.probing[name] = true
	began := time.Now()
	go func() {
		defer func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			delete(w.probing, name)
		}()
		byReplica, byWorker := w.ask(ctx, name, replicas)
		switch {
		case byReplica:
			w.logReturn(name, w.detector.RecordReplicaAnswer(name, time.Now()))
		case byWorker:
			w.logReturn(name, w.detector.RecordWorkerAnswer(name, time.Now()))
		case ctx.Err() == nil && w.detector.RecordMissedProbe(name, began):
			w.lost(name)
		}
	}()
}

// ask reports whether a replica, or a worker, of a zone answers. After a probe that one
// replica has not answered all replicas and some workers are asked at once: connections to
// workers have their price.
func (w *zoneWatch) ask(ctx context.Context, name string, replicas []string) (byReplica, byWorker bool) {
	call, cancel := context.WithTimeout(ctx, zonehealth.ProbeTimeout)
	defer cancel()
	if !w.detector.HasMissedProbe(name) {
		return w.gateway.quorum.IsReachable(call, replicas[rand.IntN(len(replicas))]), false
	}
	workers := w.workersIn(name)
	answers := make(chan answerOfProbe, len(replicas)+len(workers))
	for _, address := range replicas {
		go func() { answers <- answerOfProbe{replica: true, reached: w.gateway.quorum.IsReachable(call, address)} }()
	}
	for _, each := range workers {
		go func() { answers <- answerOfProbe{reached: w.gateway.pool.IsReachable(call, each.Address)} }()
	}
	for range cap(answers) {
		if answer := <-answers; answer.reached {
			return answer.replica, !answer.replica
		}
	}
	return false, false
}

// answerOfProbe is what one machine of a suspected zone answered.
type answerOfProbe struct{ replica, reached bool }

// workersIn returns some workers of a zone.
func (w *zoneWatch) workersIn(name string) (there []directory.Worker) {
	for _, each := range w.gateway.directory.View().Workers.InZone(name, workersDrawn) {
		if !each.Lapsed {
			there = append(there, each.Worker)
		}
	}
	rand.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	return there[:min(workersProbed, len(there))]
}

// lost gives up the attempts at workers of a zone.
func (w *zoneWatch) lost(name string) {
	w.mutex.Lock()
	ended := w.attempts[name]
	delete(w.attempts, name)
	w.mutex.Unlock()
	eventZoneLost.Log("zone", name, "attempts", len(ended))
	for attempt := range ended {
		attempt.cancel(&ZoneLost{Zone: name})
	}
}

// judgedLost reports whether a zone is out of reach, and waits for the judgement where the
// zone is suspected: the next probe takes no longer.
func (w *zoneWatch) judgedLost(name string) bool {
	for until := time.Now().Add(zonehealth.ProbeTimeout + 2*zonesLooked); w.detector.HasMissedProbe(name) && time.Now().Before(until); {
		if w.detector.IsUnreachable(name) {
			return true
		}
		time.Sleep(judgementPoll)
	}
	return w.detector.IsUnreachable(name)
}

// logCutOff logs when the own zone is cut off, and when it is not any more.
func (w *zoneWatch) logCutOff() {
	_, cutOff := w.detector.CutOffSince()
	w.mutex.Lock()
	changed := w.cutOff != cutOff
	w.cutOff = cutOff
	w.mutex.Unlock()
	switch {
	case changed && cutOff:
		eventZoneCutOff.Log("zone", w.gateway.options.Zone)
	case changed:
		eventZoneJoined.Log("zone", w.gateway.options.Zone)
	}
}

// during returns a context that also ends when a zone is lost, and what gives it back.
func (w *zoneWatch) during(ctx context.Context, name string) (context.Context, context.CancelFunc) {
	watched, cancel := context.WithCancelCause(ctx)
	attempt := &zoneAttempt{cancel: cancel}
	w.mutex.Lock()
	if w.attempts[name] == nil {
		w.attempts[name] = make(map[*zoneAttempt]bool)
	}
	w.attempts[name][attempt] = true
	w.mutex.Unlock()
	return watched, func() {
		w.mutex.Lock()
		delete(w.attempts[name], attempt)
		w.mutex.Unlock()
		cancel(nil)
	}
}

// cutOffComeBack returns after what time the entry sends clients to other zones, where this
// one is cut off.
func (g *Gateway) cutOffComeBack() (after time.Duration, cutOff bool) {
	since, cutOff := g.zones.detector.CutOffSince()
	return max(comeBackAfter, entryLag-time.Since(since)), cutOff
}

// reached leaves out workers of zones that are not reached, as long as others are left.
func (g *Gateway) reached(workers []*directory.WorkerRecord) []*directory.WorkerRecord {
	if g.zones.detector.UnreachableCount() == 0 {
		return workers
	}
	var left []*directory.WorkerRecord
	for _, each := range workers {
		if !g.zones.detector.IsUnreachable(each.Zone) {
			left = append(left, each)
		}
	}
	if len(left) == 0 {
		return workers
	}
	return left
}

// watchesZone reports whether an attempt is to end when the zone of its worker is lost: where
// the request may go to another worker, or be sent again by its client.
func (r *request) watchesZone() bool {
	repeatable := r.route.Kind == route.Safe || r.route.Kind == route.Streaming && r.route.Resumable
	return repeatable && !r.gateway.disabled(mechanism.UnreachableZones)
}

// watchZone begins the watch of one attempt. The context ends with ctx, or when the worker's
// zone is lost.
func (r *request) watchZone(ctx context.Context, chosen directory.Worker) (context.Context, context.CancelFunc) {
	if !r.watchesZone() {
		return ctx, func() {}
	}
	return r.gateway.zones.during(ctx, chosen.Zone)
}

// causeOf returns err, or that the worker's zone is lost. The worker then counts as one that
// has ended: the request may go on elsewhere. Where a worker has been silent for longer than
// is usual while a probe of its zone is under way, that is waited for.
func (r *request) causeOf(zoned context.Context, chosen directory.Worker, err error) error {
	lost := zoneLost(zoned)
	var silent *SilentWorker
	if lost == nil && errors.As(err, &silent) && r.watchesZone() && r.gateway.zones.judgedLost(chosen.Zone) {
		lost = &ZoneLost{Zone: chosen.Zone}
	}
	if lost == nil {
		return err
	}
	r.gone[chosen.ID], r.tried[chosen.ID] = true, true
	return asItWas(err, lost)
}

// zoneLost returns the failure of an attempt that ended because its zone was lost, or nil.
func zoneLost(ctx context.Context) error {
	var lost *ZoneLost
	if errors.As(context.Cause(ctx), &lost) {
		return lost
	}
	return nil
}

// ZoneLost reports an attempt that was given up because nobody in its worker's zone answers.
type ZoneLost struct {
	Zone string
}

func (e *ZoneLost) Error() string { return fmt.Sprintf("nobody in zone %s answers", e.Zone) }

// Type returns "zone_lost".
func (e *ZoneLost) Type() failure.Type { return "zone_lost" }

// Outcome returns OutcomeUnknown: the worker may have run it.
func (e *ZoneLost) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry forbids a repeat: the client knows what may run twice.
func (e *ZoneLost) Retry() failure.Retry { return failure.Retry{} }

// ZoneCutOff reports a turn that cannot begin because no other zone answers this one.
type ZoneCutOff struct {
	Zone string
	// RetryAfter is after what time the entry leads clients to another zone.
	RetryAfter time.Duration
}

func (e *ZoneCutOff) Error() string { return fmt.Sprintf("zone %s is cut off from the others", e.Zone) }

// Type returns "zone_cut_off".
func (e *ZoneCutOff) Type() failure.Type { return "zone_cut_off" }

// Outcome returns NotRun.
func (e *ZoneCutOff) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to come back.
func (e *ZoneCutOff) Retry() failure.Retry { return failure.Retry{Allowed: true, After: e.RetryAfter} }

// asLost returns err, or what a broken answer is as an error of an attempt.
func asLost(err error) error {
	var lost *worker.ResponseLost
	if errors.As(err, &lost) {
		return err
	}
	return &worker.ResponseLost{Cause: err}
}
