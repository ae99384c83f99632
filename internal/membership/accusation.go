package membership

import (
	"math"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// accusation collects the witnesses that consider a daemon failed at one revision. It
// is invalid as soon as the daemon raises its revision.
type accusation struct {
	incarnation structs.Incarnation
	revision    uint64
	witnesses   []witness
	// probeStart is when this daemon began its own probe, if it is a witness.
	probeStart time.Time
	// isolated is set while this daemon itself seems to be disconnected.
	isolated bool
	// confirmedAt is when the number of witnesses became sufficient; farFuture before
	// that.
	confirmedAt time.Time
}

// witness is a daemon that accuses another one. It renews its accusation periodically,
// so that an accusation whose witness is gone does not persist.
type witness struct {
	id          structs.NodeID
	round       uint32
	lastRenewed time.Time
}

const (
	// renewalInterval is the interval at which a witness renews its accusation to all
	// daemons.
	renewalInterval = 5 * time.Second
	// witnessLifetime is how long an accusation counts after its last renewal.
	witnessLifetime = 12 * time.Second
)

func (a *accusation) witness(id structs.NodeID) *witness {
	for i := range a.witnesses {
		if a.witnesses[i].id == id {
			return &a.witnesses[i]
		}
	}
	return nil
}

func (s *State) isAccused(m *member) bool {
	_, accused := s.accusations[m.node.ID]
	return accused
}

// accuse makes this daemon a witness against the subject.
func (s *State) accuse(subject *member) {
	if subject.node.State == structs.NodeDead {
		return
	}
	s.addWitness(subject, s.options.Self.ID, 1, "")
	s.accusations[subject.node.ID].probeStart = s.now.Add(-s.timing.ProbeTimeout)
}

// receiveAccusations processes accusations from a peer. An accused daemon refutes.
func (s *State) receiveAccusations(from *member, m *gossipv1.Message) {
	for _, received := range m.Accusations {
		subject, known := s.members[structs.NodeID(received.Subject)]
		accuser, accuserKnown := s.members[structs.NodeID(received.Witness)]
		if !known || !accuserKnown || accuser == subject || accuser.node.State == structs.NodeDead {
			continue
		}
		if subject.node.State == structs.NodeDead || !matchesRevision(subject, received) {
			continue
		}
		if subject.node.ID == s.options.Self.ID {
			s.refute(subject)
			continue
		}
		s.addWitness(subject, accuser.node.ID, received.Round, from.node.ID)
	}
}

func matchesRevision(subject *member, a *gossipv1.Accusation) bool {
	return uint64(subject.node.Incarnation) == a.Incarnation && subject.revision == a.Revision
}

// refute raises the daemon's own revision, which invalidates the accusations.
func (s *State) refute(self *member) {
	self.revision++
	s.publishSelf()
	s.flush()
}

func (s *State) addWitness(subject *member, witnessID structs.NodeID, round uint32, sender structs.NodeID) {
	a, accused := s.accusations[subject.node.ID]
	if !accused {
		a = &accusation{incarnation: subject.node.Incarnation, revision: subject.revision, confirmedAt: farFuture}
		s.accusations[subject.node.ID] = a
	}
	entry := a.witness(witnessID)
	if entry != nil && round <= entry.round {
		return
	}
	if entry == nil {
		a.witnesses = append(a.witnesses, witness{id: witnessID})
		entry = a.witness(witnessID)
	}
	entry.round, entry.lastRenewed = round, s.now
	if a.confirmedAt == farFuture && s.hasEnoughWitnesses(subject, a.witnesses) {
		a.confirmedAt = s.now
	}
	s.reportNode(subject, false)
	s.broadcastAccusation(subject, a, entry, sender)
}

// broadcastAccusation sends an accusation to the neighbours. A first-hand accusation is
// also sent directly to the subject and to its other watchers, which are the other
// witnesses needed for a removal.
func (s *State) broadcastAccusation(subject *member, a *accusation, reporter *witness, sender structs.NodeID) {
	targets := slices.Clone(s.topology().neighbours)
	if sender == "" {
		targets = append(targets, subject)
		targets = append(targets, s.watchersOf(subject, s.membersByZone)...)
	}
	var notified []structs.NodeID
	for _, target := range targets {
		id := target.node.ID
		if id == sender || id == s.options.Self.ID || slices.Contains(notified, id) {
			continue
		}
		notified = append(notified, id)
		s.send(target.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{a.proto(subject, reporter)}})
	}
}

func (a *accusation) proto(subject *member, reporter *witness) *gossipv1.Accusation {
	return &gossipv1.Accusation{
		Subject:     string(subject.node.ID),
		Incarnation: uint64(a.incarnation),
		Revision:    a.revision,
		Witness:     string(reporter.id),
		Round:       reporter.round,
	}
}

// resendAccusations resends this daemon's accusations to the accused daemons, which can
// refute them if they are reachable again, and periodically renews them to all daemons.
func (s *State) resendAccusations() {
	for _, id := range sortedKeys(s.accusations) {
		a, subject := s.accusations[id], s.members[id]
		own := a.witness(s.options.Self.ID)
		if own == nil {
			continue
		}
		if s.now.Sub(own.lastRenewed) >= renewalInterval {
			s.addWitness(subject, own.id, own.round+1, "")
			continue
		}
		s.send(subject.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{a.proto(subject, own)}})
	}
}

// expireWitnesses removes witnesses that did not renew their accusation.
func (s *State) expireWitnesses(subject *member, a *accusation) {
	a.witnesses = slices.DeleteFunc(a.witnesses, func(w witness) bool { return s.now.Sub(w.lastRenewed) > witnessLifetime })
	if !s.hasEnoughWitnesses(subject, a.witnesses) {
		a.confirmedAt = farFuture
	}
	if len(a.witnesses) == 0 {
		delete(s.accusations, subject.node.ID)
		s.reportNode(subject, false)
	}
}

func (s *State) dropStaleAccusation(m *member) {
	a, accused := s.accusations[m.node.ID]
	if !accused {
		return
	}
	if a.incarnation == m.node.Incarnation && a.revision == m.revision && m.node.State != structs.NodeDead {
		return
	}
	delete(s.accusations, m.node.ID)
	if w, watched := s.watches[m.node.ID]; watched && w.accused {
		w.accused = false
		w.heartbeatDeadline = s.now.Add(s.timing.InitialTimeout)
	}
}

// hasEnoughWitnesses reports whether the witnesses suffice to remove the subject: two
// of the subject's zone, or two of different zones.
func (s *State) hasEnoughWitnesses(subject *member, witnesses []witness) bool {
	zones := map[structs.ZoneName]bool{}
	sameZone := 0
	for _, w := range witnesses {
		accuser, known := s.members[w.id]
		if !known || accuser.node.State == structs.NodeDead {
			continue
		}
		zones[accuser.node.Zone] = true
		if accuser.node.Zone == subject.node.Zone {
			sameZone++
		}
	}
	return sameZone >= requiredWitnesses || len(zones) >= requiredWitnesses
}

// checkAccusations removes the daemons that this daemon and enough others accuse and
// that did not refute in time.
func (s *State) checkAccusations() {
	for _, id := range sortedKeys(s.accusations) {
		a := s.accusations[id]
		subject := s.members[id]
		s.expireWitnesses(subject, a)
		if s.now.Before(a.confirmedAt.Add(s.timing.RefutationTimeout)) || a.witness(s.options.Self.ID) == nil {
			continue
		}
		if s.mustDelayRemoval(subject, a) {
			a.confirmedAt = s.now
			continue
		}
		s.remove(subject, a)
	}
}

// mustDelayRemoval reports whether a removal must be delayed by another refutation
// timeout: while this daemon seems disconnected, and once more when it is connected
// again, so that the accused daemon can receive the accusation and refute it.
func (s *State) mustDelayRemoval(subject *member, a *accusation) bool {
	own := a.witness(s.options.Self.ID)
	s.send(subject.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{a.proto(subject, own)}})
	if !s.isConnected(a) || !s.hasMajority(subject) {
		a.isolated = true
		a.probeStart = s.now
		s.probeFromOtherZone(subject)
		return true
	}
	wasIsolated := a.isolated
	a.isolated = false
	return wasIsolated
}

// isConnected reports whether this daemon received a message from another zone since it
// began to probe the accused daemon. A rack that is disconnected within its zone
// receives none, and so does not remove other daemons.
func (s *State) isConnected(a *accusation) bool {
	return len(s.topology().zones) < 2 || s.lastOtherZoneMessage.After(a.probeStart)
}

// hasMajority reports whether this daemon's side of a partition may remove others. It
// must contain a majority of all members, or of the members of the subject's zone; the
// latter counts only if it is also this daemon's zone and has more than watcherCount
// members.
func (s *State) hasMajority(subject *member) bool {
	members, reachable := 0, 0
	zoneMembers, zoneReachable := 0, 0
	for _, m := range s.members {
		if m.node.State == structs.NodeDead {
			continue
		}
		members++
		isReachable := s.observedNode(m).State != structs.NodeSuspect
		if isReachable {
			reachable++
		}
		if m.node.Zone != subject.node.Zone {
			continue
		}
		zoneMembers++
		if isReachable {
			zoneReachable++
		}
	}
	zoneMajority := zoneMembers > watcherCount && zoneReachable*2 > zoneMembers && s.options.Self.Zone == subject.node.Zone
	return reachable*2 > members || zoneMajority
}

func (s *State) remove(subject *member, a *accusation) {
	witnessIDs := make([]string, 0, len(a.witnesses))
	for _, w := range a.witnesses {
		witnessIDs = append(witnessIDs, string(w.id))
	}
	s.learnFact(&gossipv1.Fact{
		Key:   nodeKey(subject.node.ID),
		Major: uint64(a.incarnation),
		Minor: math.MaxUint64,
		Value: encodeNode(subject.node, witnessIDs),
	}, "")
	s.flush()
}
