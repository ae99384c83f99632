// Package membership maintains the membership of a cluster of daemons: it detects
// failures, admits and removes daemons, and disseminates versioned facts and one
// document. It does no I/O: a State receives messages and the time, and returns
// messages and events.
//
// Each daemon is watched by a constant number of daemons of its zone, along the edges
// of an expander graph, and a few daemons of each zone are linked with other zones.
// Facts are disseminated along the same edges, and missing facts are found by comparing
// digests, so that the cost per daemon does not grow with the cluster.
package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// member is this daemon's record of a daemon.
type member struct {
	node structs.Node
	// revision increases when the daemon refutes an accusation.
	revision      uint64
	ringPositions [watcherCount]uint64
	removedAt     time.Time
	// leftVoluntarily is set if the daemon left by itself.
	leftVoluntarily bool
	// reportedState is the state in the last event about the member.
	reportedState structs.NodeState
}

// State is the membership protocol state of one daemon. It is not safe for concurrent
// use.
type State struct {
	options Options
	timing  Timing
	now     time.Time
	started bool

	members map[structs.NodeID]*member
	facts   factStore
	// membersByZone holds the members that are not removed.
	membersByZone  map[structs.ZoneName][]*member
	endpoints      map[endpointsKey][]*member
	cachedTopology *topology

	heartbeatNumber uint64
	nextHeartbeat   time.Time
	nextJoin        time.Time
	nextReconnect   time.Time
	nextCleanup     time.Time

	watches      map[structs.NodeID]*watch
	accusations  map[structs.NodeID]*accusation
	pendingPings map[uint64]ping
	links        map[structs.NodeID]*link
	// lastOtherZoneMessage is when the last message from another zone arrived.
	lastOtherZoneMessage time.Time
	unreachableZones     map[structs.ZoneName]bool
	reachabilityStale    bool
	// noRegularPath is the set of zones from which no path of regular links leads here.
	// A change of it sets fallbackLinksStale.
	noRegularPath      map[structs.ZoneName]bool
	fallbackLinksStale bool
	internedNames      map[string]string

	pending       []pendingFact
	nextFlush     time.Time
	lastChanged   time.Time
	nextSync      time.Time
	documentFetch *documentFetch
	// announcedAt is when the daemon announced itself to its neighbours.
	announcedAt time.Time
	// joined is set once the daemon has received the facts of the others and announced
	// itself.
	joined       bool
	joinAttempts int
	// joinTotal is the number of facts that a seed announced in its reply; 0 if
	// unknown.
	joinTotal   int
	selfRemoved bool
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
		options:          options,
		timing:           options.Timing,
		members:          map[structs.NodeID]*member{},
		membersByZone:    map[structs.ZoneName][]*member{},
		endpoints:        map[endpointsKey][]*member{},
		watches:          map[structs.NodeID]*watch{},
		accusations:      map[structs.NodeID]*accusation{},
		pendingPings:     map[uint64]ping{},
		links:            map[structs.NodeID]*link{},
		unreachableZones: map[structs.ZoneName]bool{},
		internedNames:    map[string]string{},
	}
	s.options.Self.State = structs.NodeAlive
	s.publishSelf()
	return s
}

// Drain returns and removes the pending messages and events.
func (s *State) Drain() ([]Outgoing, []Event) {
	outgoing, events := s.outgoing, s.events
	s.outgoing, s.events = nil, nil
	return outgoing, events
}

// Self returns this daemon's own node.
func (s *State) Self() structs.Node { return s.options.Self }

// Nodes returns all known daemons, including recently removed ones, in no particular
// order.
func (s *State) Nodes() []structs.Node {
	nodes := make([]structs.Node, 0, len(s.members))
	for _, m := range s.members {
		nodes = append(nodes, s.observedNode(m))
	}
	return nodes
}

// Node returns a daemon by its ID.
func (s *State) Node(id structs.NodeID) (structs.Node, bool) {
	m, known := s.members[id]
	if !known {
		return structs.Node{}, false
	}
	return s.observedNode(m), true
}

// Tick runs the timers that are due.
func (s *State) Tick(now time.Time) {
	s.now = now
	if !s.started {
		s.start()
	}
	if s.selfRemoved {
		return
	}
	if !s.joined && !now.Before(s.nextJoin) {
		s.join()
	}
	s.topology()
	if s.joined && !now.Before(s.nextHeartbeat) {
		s.sendHeartbeats()
	}
	if !now.Before(s.nextReconnect) {
		s.reconnect()
	}
	if !now.Before(s.nextCleanup) {
		s.cleanUp()
	}
	s.checkWatches()
	s.checkLinks()
	if s.reachabilityStale {
		s.updateReachability()
	}
	if s.fallbackLinksStale {
		s.fallbackLinksStale = false
		s.cachedTopology = nil
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
	s.nextReconnect = s.now.Add(reconnectInterval)
	s.nextCleanup = s.now.Add(cleanupInterval)
}

// NextWake returns when Tick must be called next if no message arrives before.
func (s *State) NextWake() time.Time {
	if !s.started || s.selfRemoved {
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
		earlier(w.nextDeadline())
	}
	for _, a := range s.accusations {
		if a.witness(s.options.Self.ID) == nil {
			continue
		}
		earlier(a.confirmedAt.Add(s.timing.RefutationTimeout))
	}
	if !wake.After(s.now) {
		return s.now.Add(time.Millisecond)
	}
	return wake
}

// sendHeartbeats sends a heartbeat to each watcher and link peer.
func (s *State) sendHeartbeats() {
	s.heartbeatNumber++
	s.nextHeartbeat = s.nextHeartbeat.Add(s.timing.HeartbeatInterval)
	if s.heartbeatNumber == 1 {
		// The first heartbeat is sent immediately. The phase of the others is random,
		// so that daemons that start together do not send together.
		s.nextHeartbeat = s.now.Add(time.Duration(s.options.Random.Int64N(int64(s.timing.HeartbeatInterval))))
	}
	if s.nextHeartbeat.Before(s.now) {
		s.nextHeartbeat = s.now.Add(s.timing.HeartbeatInterval)
	}
	for _, neighbour := range s.topology().neighbours {
		s.send(neighbour.node, &gossipv1.Message{
			Heartbeat:       s.heartbeatNumber,
			Digest:          s.facts.rootDigest(),
			DocumentVersion: s.documentVersion(),
			Address:         s.announcedAddress(neighbour),
		})
	}
	s.resendAccusations()
}

// announcedAddress returns the address that a heartbeat carries, by which a peer that
// does not know this daemon can reply. It is also sent to suspected peers, which may
// have restarted without their memory.
func (s *State) announcedAddress(neighbour *member) string {
	if s.now.Sub(s.announcedAt) < announcementPeriod || s.observedNode(neighbour).State == structs.NodeSuspect {
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
