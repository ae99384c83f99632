package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// helperCount is the number of daemons that are asked for an indirect ping.
const helperCount = 2

// watch follows one peer whose heartbeats this daemon expects.
type watch struct {
	peer        *member
	incarnation structs.Incarnation
	estimator   TimeoutEstimator
	// deadline is when the peer is probed unless it shows life.
	deadline time.Time
	// probing is when the running probe gives up; zero if none runs.
	probing time.Time
	accused bool
}

func (w *watch) due() time.Time {
	switch {
	case w.accused:
		return farFuture
	case !w.probing.IsZero():
		return w.probing
	default:
		return w.deadline
	}
}

// farFuture is later than any time that is waited for.
var farFuture = time.Unix(1<<40, 0)

// ping is a ping that waits for its answer.
type ping struct {
	subject structs.NodeID
	sent    time.Time
	// requester is who asked for the ping, with the nonce to answer; empty if
	// this daemon itself did.
	requester structs.NodeID
	nonce     uint64
}

// updateWatches follows the topology.
func (s *State) updateWatches() {
	wanted := map[structs.NodeID]bool{}
	for _, peer := range s.derived.watched {
		wanted[peer.node.ID] = true
		held, known := s.watches[peer.node.ID]
		if known && held.peer == peer && held.incarnation == peer.node.Incarnation {
			continue
		}
		s.watches[peer.node.ID] = &watch{
			peer:        peer,
			incarnation: peer.node.Incarnation,
			estimator:   s.options.NewEstimator(),
			deadline:    s.now.Add(s.timing.InitialTimeout),
		}
	}
	for id := range s.watches {
		if !wanted[id] {
			delete(s.watches, id)
		}
	}
	s.updateLinks()
}

// signOfLife takes any message as a sign of life and times heartbeats.
func (s *State) signOfLife(from *member, m *gossipv1.Message) {
	s.linkAlive(from)
	w, watched := s.watches[from.node.ID]
	if !watched || m.Incarnation != uint64(w.incarnation) {
		return
	}
	if m.Heartbeat > 0 {
		if !w.probing.IsZero() || w.accused {
			w.estimator.ObserveFalseSuspicion()
		}
		w.estimator.ObserveHeartbeat(s.now, m.Heartbeat)
	}
	s.trust(w)
}

// trust ends a probe; an accusation is left to the peer, which contradicts it.
func (s *State) trust(w *watch) {
	w.probing = time.Time{}
	w.accused = false
	deadline := w.estimator.Deadline()
	if earliest := s.now.Add(s.timing.HeartbeatInterval / 2); deadline.Before(earliest) {
		deadline = earliest
	}
	w.deadline = deadline
}

// checkWatches probes the silent and accuses those whose probe failed.
func (s *State) checkWatches() {
	for _, peer := range s.derived.watched {
		w := s.watches[peer.node.ID]
		switch {
		case s.now.Before(w.due()):
		case w.probing.IsZero():
			s.probe(w)
		default:
			w.accused = true
			w.probing = time.Time{}
			s.accuse(w.peer)
		}
	}
}

// probe pings the peer directly and through helpers in other places.
func (s *State) probe(w *watch) {
	timeout := s.timing.ProbeTimeout
	if s.mostWatchesSilent() {
		// The fault may be this daemon's own: be slower to accuse.
		timeout *= 2
	}
	w.probing = s.now.Add(timeout)
	s.send(w.peer.node, &gossipv1.Message{Ping: s.newPing(ping{subject: w.peer.node.ID})})
	for _, helper := range s.helpers(w.peer) {
		s.askHelper(helper, w.peer)
	}
}

func (s *State) askHelper(helper, subject *member) {
	nonce := s.newPing(ping{subject: subject.node.ID})
	probe := &gossipv1.Probe{Subject: string(subject.node.ID), Nonce: nonce}
	s.send(helper.node, &gossipv1.Message{Probes: []*gossipv1.Probe{probe}})
}

// askElsewhere asks a daemon of another zone once more: its answer, whatever
// it says of the subject, shows that this daemon is not cut off.
func (s *State) askElsewhere(subject *member) {
	self := s.members[s.options.Self.ID]
	helper := s.randomElsewhere(self, func(m *member) bool { return m != subject && s.present(m).State == structs.NodeAlive })
	if helper != nil {
		s.askHelper(helper, subject)
	}
}

func (s *State) mostWatchesSilent() bool {
	silent := 0
	for _, w := range s.watches {
		if w.accused || !w.probing.IsZero() {
			silent++
		}
	}
	return len(s.watches) > 1 && silent*2 >= len(s.watches)
}

// helpers picks one daemon of the subject's zone and one of another zone,
// preferring the same region.
func (s *State) helpers(subject *member) []*member {
	usable := func(m *member) bool {
		return m != subject && m.node.ID != s.options.Self.ID && s.present(m).State == structs.NodeAlive
	}
	var chosen []*member
	near := s.randomOf(s.byZone[subject.node.Zone], usable)
	far := s.randomElsewhere(subject, func(m *member) bool { return usable(m) && m.node.Region == subject.node.Region })
	if far == nil {
		far = s.randomElsewhere(subject, usable)
	}
	for _, helper := range []*member{near, far} {
		if helper != nil && len(chosen) < helperCount {
			chosen = append(chosen, helper)
		}
	}
	return chosen
}

// randomOf picks a member that fits from a list, from a random place on.
func (s *State) randomOf(members []*member, fits func(*member) bool) *member {
	if len(members) == 0 {
		return nil
	}
	start := s.options.Random.IntN(len(members))
	for i := range members {
		if m := members[(start+i)%len(members)]; fits(m) {
			return m
		}
	}
	return nil
}

// randomElsewhere picks a member that fits from another zone than the subject's.
func (s *State) randomElsewhere(subject *member, fits func(*member) bool) *member {
	zones := s.topology().zones
	start := s.options.Random.IntN(len(zones))
	for i := range zones {
		zone := zones[(start+i)%len(zones)]
		if zone == subject.node.Zone {
			continue
		}
		if m := s.randomOf(s.byZone[zone], fits); m != nil {
			return m
		}
	}
	return nil
}

// randomMember picks evenly among the members that fit; nil if none does.
func (s *State) randomMember(fits func(*member) bool) *member {
	var chosen *member
	var chosenDraw uint64
	salt := s.options.Random.Uint64()
	for _, m := range s.members {
		if !fits(m) {
			continue
		}
		// The draw depends on the member, not on the order of the map, so that
		// a run can be repeated from its seed.
		if draw := mix(m.ring[0] ^ salt); chosen == nil || draw < chosenDraw {
			chosen, chosenDraw = m, draw
		}
	}
	return chosen
}

func (s *State) newPing(p ping) uint64 {
	nonce := s.options.Random.Uint64() | 1
	p.sent = s.now
	s.pings[nonce] = p
	return nonce
}

// receiveProbes answers pings, pings for others and takes answers.
func (s *State) receiveProbes(from *member, m *gossipv1.Message) {
	if m.Ping != 0 {
		s.send(from.node, &gossipv1.Message{Ack: m.Ping})
	}
	if len(m.Probes) > 0 && from.node.Zone != s.options.Self.Zone {
		s.send(from.node, &gossipv1.Message{})
	}
	for _, probe := range m.Probes {
		if subject, known := s.members[structs.NodeID(probe.Subject)]; known {
			nonce := s.newPing(ping{subject: subject.node.ID, requester: from.node.ID, nonce: probe.Nonce})
			s.send(subject.node, &gossipv1.Message{Ping: nonce})
		}
	}
	s.receiveAnswer(m.Ack)
	s.receiveAnswer(m.ProbeAck)
}

func (s *State) receiveAnswer(nonce uint64) {
	answered, waiting := s.pings[nonce]
	if !waiting {
		return
	}
	delete(s.pings, nonce)
	if requester, known := s.members[answered.requester]; known {
		s.send(requester.node, &gossipv1.Message{ProbeAck: answered.nonce})
		return
	}
	if w, watched := s.watches[answered.subject]; watched {
		s.trust(w)
	}
}
