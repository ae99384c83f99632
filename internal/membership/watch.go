package membership

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// helperCount is the number of daemons that are asked for an indirect ping.
const helperCount = 2

// watch monitors the heartbeats of one peer.
type watch struct {
	peer        *member
	incarnation structs.Incarnation
	estimator   TimeoutEstimator
	// heartbeatDeadline is when the peer is probed unless a message arrives from it.
	heartbeatDeadline time.Time
	// probeDeadline is when the running probe fails; zero if none is running.
	probeDeadline time.Time
	accused       bool
}

func (w *watch) nextDeadline() time.Time {
	switch {
	case w.accused:
		return farFuture
	case !w.probeDeadline.IsZero():
		return w.probeDeadline
	default:
		return w.heartbeatDeadline
	}
}

// farFuture is later than any deadline.
var farFuture = time.Unix(1<<40, 0)

// ping is a ping without an answer yet.
type ping struct {
	subject structs.NodeID
	sent    time.Time
	// requester is the daemon that requested the ping, with the nonce for the answer;
	// empty if this daemon pings for itself.
	requester      structs.NodeID
	requesterNonce uint64
}

// updateWatches updates the watches and links after a change of the topology.
func (s *State) updateWatches() {
	watched := map[structs.NodeID]bool{}
	for _, peer := range s.cachedTopology.watched {
		watched[peer.node.ID] = true
		existing, exists := s.watches[peer.node.ID]
		if exists && existing.peer == peer && existing.incarnation == peer.node.Incarnation {
			continue
		}
		s.watches[peer.node.ID] = &watch{
			peer:              peer,
			incarnation:       peer.node.Incarnation,
			estimator:         s.options.NewEstimator(),
			heartbeatDeadline: s.now.Add(s.timing.InitialTimeout),
		}
	}
	for id := range s.watches {
		if !watched[id] {
			delete(s.watches, id)
		}
	}
	s.updateLinks()
}

// recordMessage records that the sender is alive, and the arrival of heartbeats.
func (s *State) recordMessage(from *member, m *gossipv1.Message) {
	s.recordLinkMessage(from)
	w, watched := s.watches[from.node.ID]
	if !watched || m.Incarnation != uint64(w.incarnation) {
		return
	}
	if m.Heartbeat > 0 {
		if !w.probeDeadline.IsZero() || w.accused {
			w.estimator.ObserveFalseSuspicion()
		}
		w.estimator.ObserveHeartbeat(s.now, m.Heartbeat)
	}
	s.endProbe(w)
}

// endProbe ends a probe. An existing accusation remains until the peer refutes it.
func (s *State) endProbe(w *watch) {
	w.probeDeadline = time.Time{}
	w.accused = false
	deadline := w.estimator.Deadline()
	if earliest := s.now.Add(s.timing.HeartbeatInterval / 2); deadline.Before(earliest) {
		deadline = earliest
	}
	w.heartbeatDeadline = deadline
}

// checkWatches probes silent peers and accuses those whose probe failed.
func (s *State) checkWatches() {
	for _, peer := range s.cachedTopology.watched {
		w := s.watches[peer.node.ID]
		switch {
		case s.now.Before(w.nextDeadline()):
		case w.probeDeadline.IsZero():
			s.probe(w)
		default:
			w.accused = true
			w.probeDeadline = time.Time{}
			s.accuse(w.peer)
		}
	}
}

// probe pings the peer directly and through helpers in different zones.
func (s *State) probe(w *watch) {
	timeout := s.timing.ProbeTimeout
	if s.mostPeersSilent() {
		// The failure may be on this daemon's side, so it waits longer before it
		// accuses.
		timeout *= 2
	}
	w.probeDeadline = s.now.Add(timeout)
	s.send(w.peer.node, &gossipv1.Message{Ping: s.newPing(ping{subject: w.peer.node.ID})})
	for _, helper := range s.pickHelpers(w.peer) {
		s.requestIndirectPing(helper, w.peer)
	}
}

func (s *State) requestIndirectPing(helper, subject *member) {
	nonce := s.newPing(ping{subject: subject.node.ID})
	probe := &gossipv1.Probe{Subject: string(subject.node.ID), Nonce: nonce}
	s.send(helper.node, &gossipv1.Message{Probes: []*gossipv1.Probe{probe}})
}

// probeFromOtherZone requests an indirect ping from a daemon of another zone. Its
// reply, whatever the result, shows that this daemon is not disconnected.
func (s *State) probeFromOtherZone(subject *member) {
	self := s.members[s.options.Self.ID]
	helper := s.randomFromOtherZone(self, func(m *member) bool { return m != subject && s.observedNode(m).State == structs.NodeAlive })
	if helper != nil {
		s.requestIndirectPing(helper, subject)
	}
}

func (s *State) mostPeersSilent() bool {
	silent := 0
	for _, w := range s.watches {
		if w.accused || !w.probeDeadline.IsZero() {
			silent++
		}
	}
	return len(s.watches) > 1 && silent*2 >= len(s.watches)
}

// pickHelpers picks one daemon of the subject's zone and one of another zone,
// preferably of the same region.
func (s *State) pickHelpers(subject *member) []*member {
	isUsable := func(m *member) bool {
		return m != subject && m.node.ID != s.options.Self.ID && s.observedNode(m).State == structs.NodeAlive
	}
	var helpers []*member
	sameZone := s.randomFrom(s.membersByZone[subject.node.Zone], isUsable)
	otherZone := s.randomFromOtherZone(subject, func(m *member) bool { return isUsable(m) && m.node.Region == subject.node.Region })
	if otherZone == nil {
		otherZone = s.randomFromOtherZone(subject, isUsable)
	}
	for _, helper := range []*member{sameZone, otherZone} {
		if helper != nil && len(helpers) < helperCount {
			helpers = append(helpers, helper)
		}
	}
	return helpers
}

// randomFrom picks a matching member of a list, searching from a random position.
func (s *State) randomFrom(members []*member, matches func(*member) bool) *member {
	if len(members) == 0 {
		return nil
	}
	start := s.options.Random.IntN(len(members))
	for i := range members {
		if m := members[(start+i)%len(members)]; matches(m) {
			return m
		}
	}
	return nil
}

// randomFromOtherZone picks a matching member of a zone other than the subject's.
func (s *State) randomFromOtherZone(subject *member, matches func(*member) bool) *member {
	zones := s.topology().zones
	start := s.options.Random.IntN(len(zones))
	for i := range zones {
		zone := zones[(start+i)%len(zones)]
		if zone == subject.node.Zone {
			continue
		}
		if m := s.randomFrom(s.membersByZone[zone], matches); m != nil {
			return m
		}
	}
	return nil
}

// randomMember picks a matching member with uniform probability; nil if there is none.
func (s *State) randomMember(matches func(*member) bool) *member {
	var selected *member
	var lowestDraw uint64
	salt := s.options.Random.Uint64()
	for _, m := range s.members {
		if !matches(m) {
			continue
		}
		// The draw depends on the member and not on the iteration order of the map, so
		// that a run can be reproduced from its seed.
		if draw := mixHash(m.ringPositions[0] ^ salt); selected == nil || draw < lowestDraw {
			selected, lowestDraw = m, draw
		}
	}
	return selected
}

func (s *State) newPing(p ping) uint64 {
	nonce := s.options.Random.Uint64() | 1
	p.sent = s.now
	s.pendingPings[nonce] = p
	return nonce
}

// receiveProbes answers pings, executes requests for indirect pings and processes
// answers.
func (s *State) receiveProbes(from *member, m *gossipv1.Message) {
	if m.Ping != 0 {
		s.send(from.node, &gossipv1.Message{Ack: m.Ping})
	}
	if len(m.Probes) > 0 && from.node.Zone != s.options.Self.Zone {
		s.send(from.node, &gossipv1.Message{})
	}
	for _, probe := range m.Probes {
		if subject, known := s.members[structs.NodeID(probe.Subject)]; known {
			nonce := s.newPing(ping{subject: subject.node.ID, requester: from.node.ID, requesterNonce: probe.Nonce})
			s.send(subject.node, &gossipv1.Message{Ping: nonce})
		}
	}
	s.receiveAnswer(m.Ack)
	s.receiveAnswer(m.ProbeAck)
}

func (s *State) receiveAnswer(nonce uint64) {
	sent, pending := s.pendingPings[nonce]
	if !pending {
		return
	}
	delete(s.pendingPings, nonce)
	if requester, known := s.members[sent.requester]; known {
		s.send(requester.node, &gossipv1.Message{ProbeAck: sent.requesterNonce})
		return
	}
	if w, watched := s.watches[sent.subject]; watched {
		s.endProbe(w)
	}
}
