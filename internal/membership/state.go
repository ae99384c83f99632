// Package membership keeps the members of a cluster of daemons: it detects
// failures, removes and admits daemons, and spreads versioned facts and one
// document. It does no I/O: a State takes messages and the time, and gives back
// messages and events.
//
// Each daemon is watched by a constant number of daemons of its zone, along the
// edges of an expander graph; a few daemons link each zone with others. Facts
// flow along the same edges and differences are found by digests, so that the
// cost for a daemon does not grow with the cluster.
package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// member is a daemon as this one knows it.
type member struct {
	node structs.Node
	// revision rises when the daemon contradicts an accusation.
	revision uint64
	ring     [watcherCount]uint64
	removed  time.Time
	// left is set if the daemon went by itself.
	left bool
	// reported is the state that was last told by an event.
	reported structs.NodeState
}

// State is one daemon's part of membership. It is not safe for concurrent use.
type State struct {
	options Options
	timing  Timing
	now     time.Time
	started bool

	members map[structs.NodeID]*member
	facts   factStore
	// byZone holds the members that were not removed.
	byZone  map[structs.ZoneName][]*member
	ends    map[endsKey][]*member
	derived *topology

	heartbeat     uint64
	nextHeartbeat time.Time
	nextJoin      time.Time
	nextReunion   time.Time
	nextSweep     time.Time

	watches     map[structs.NodeID]*watch
	accusations map[structs.NodeID]*accusation
	pings       map[uint64]ping
	links       map[structs.NodeID]*link
	// heardElsewhere is when a message from another zone came last.
	heardElsewhere time.Time
	cut            map[structs.ZoneName]bool
	zonesStale     bool
	// pathless are the zones that no path of regular links leads from; a change
	// of them sets detoursStale.
	pathless     map[structs.ZoneName]bool
	detoursStale bool
	names        map[string]string

	pending     []pendingFact
	nextFlush   time.Time
	lastChanged time.Time
	nextSync    time.Time
	fetch       *documentFetch
	// introduced is when the daemon told its neighbours of itself.
	introduced time.Time
	// joined daemons hold what the others hold and have introduced themselves.
	joined       bool
	joinAttempts int
	// joinTotal is the number of facts that a seed said it sent; 0 if none did.
	joinTotal   int
	removedSelf bool
	leaving     bool

	outgoing []Outgoing
	events   []Event
}

// New returns the state of a daemon that knows only itself.
func New(options Options) *State {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.NewEstimator == nil {
		options.NewEstimator = func() TimeoutEstimator { return DefaultEstimator(options.Timing.HeartbeatInterval) }
	}
	s := &State{
		options:     options,
		timing:      options.Timing,
		members:     map[structs.NodeID]*member{},
		byZone:      map[structs.ZoneName][]*member{},
		ends:        map[endsKey][]*member{},
		watches:     map[structs.NodeID]*watch{},
		accusations: map[structs.NodeID]*accusation{},
		pings:       map[uint64]ping{},
		links:       map[structs.NodeID]*link{},
		cut:         map[structs.ZoneName]bool{},
		names:       map[string]string{},
	}
	s.options.Self.State = structs.NodeAlive
	s.publishSelf()
	return s
}

// Drain returns and forgets the messages and events that piled up.
func (s *State) Drain() ([]Outgoing, []Event) {
	outgoing, events := s.outgoing, s.events
	s.outgoing, s.events = nil, nil
	return outgoing, events
}

// Self returns the daemon as it presents itself.
func (s *State) Self() structs.Node { return s.options.Self }

// Nodes returns all known daemons, also those removed not long ago, in no order.
func (s *State) Nodes() []structs.Node {
	nodes := make([]structs.Node, 0, len(s.members))
	for _, m := range s.members {
		nodes = append(nodes, s.present(m))
	}
	return nodes
}

// Node returns a daemon by its id.
func (s *State) Node(id structs.NodeID) (structs.Node, bool) {
	m, known := s.members[id]
	if !known {
		return structs.Node{}, false
	}
	return s.present(m), true
}

// Tick does what is due.
func (s *State) Tick(now time.Time) {
	s.now = now
	if !s.started {
		s.start()
	}
	if s.removedSelf {
		return
	}
	if !s.joined && !now.Before(s.nextJoin) {
		s.join()
	}
	s.topology()
	if s.joined && !now.Before(s.nextHeartbeat) {
		s.beat()
	}
	if !now.Before(s.nextReunion) {
		s.reunite()
	}
	if !now.Before(s.nextSweep) {
		s.sweep()
	}
	s.checkWatches()
	s.checkLinks()
	if s.zonesStale {
		s.checkZones()
	}
	if s.detoursStale {
		s.detoursStale = false
		s.derived = nil
		s.topology()
	}
	s.checkAccusations()
	if len(s.pending) > 0 && !now.Before(s.nextFlush) {
		s.flush()
	}
}

func (s *State) start() {
	s.started = true
	s.nextHeartbeat = s.now
	s.nextJoin = s.now
	s.nextReunion = s.now.Add(reunionPeriod)
	s.nextSweep = s.now.Add(sweepPeriod)
}

// NextWake returns when Tick is due next if no message comes before.
func (s *State) NextWake() time.Time {
	if !s.started || s.removedSelf {
		return s.now.Add(s.timing.HeartbeatInterval)
	}
	wake := s.nextHeartbeat
	if !s.joined {
		wake = s.nextJoin
	}
	earlier := func(at time.Time) {
		if at.Before(wake) {
			wake = at
		}
	}
	if len(s.pending) > 0 {
		earlier(s.nextFlush)
	}
	for _, w := range s.watches {
		earlier(w.due())
	}
	for _, a := range s.accusations {
		if a.witness(s.options.Self.ID) == nil {
			continue
		}
		earlier(a.confirmed.Add(s.timing.RefutationTimeout))
	}
	if !wake.After(s.now) {
		return s.now.Add(time.Millisecond)
	}
	return wake
}

// beat sends a heartbeat to each watcher and link peer.
func (s *State) beat() {
	s.heartbeat++
	s.nextHeartbeat = s.nextHeartbeat.Add(s.timing.HeartbeatInterval)
	if s.heartbeat == 1 {
		// The first one goes out at once; the phase of the others is random, so
		// that daemons that started together don't send together.
		s.nextHeartbeat = s.now.Add(time.Duration(s.options.Random.Int64N(int64(s.timing.HeartbeatInterval))))
	}
	if s.nextHeartbeat.Before(s.now) {
		s.nextHeartbeat = s.now.Add(s.timing.HeartbeatInterval)
	}
	for _, neighbour := range s.topology().neighbours {
		s.send(neighbour.node, &gossipv1.Message{
			Heartbeat:       s.heartbeat,
			Digest:          s.facts.root(),
			DocumentVersion: s.documentVersion(),
			Address:         s.introductionTo(neighbour),
		})
	}
	s.repeatAccusations()
}

// introductionTo returns the address that a heartbeat carries, by which a peer that
// does not know this daemon can answer it. One that is suspected may have come back
// without its memory.
func (s *State) introductionTo(neighbour *member) string {
	if s.now.Sub(s.introduced) < introductionSpan || s.present(neighbour).State == structs.NodeSuspect {
		return s.options.Self.PeerAddress
	}
	return ""
}

func (s *State) documentVersion() uint64 {
	if s.options.Document == nil {
		return 0
	}
	return s.options.Document.ActiveVersion()
}
