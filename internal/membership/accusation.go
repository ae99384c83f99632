package membership

import (
	"math"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// accusation collects the witnesses who lost a daemon at one revision. It is
// void as soon as the daemon raises its revision.
type accusation struct {
	incarnation structs.Incarnation
	revision    uint64
	witnesses   []structs.NodeID
	// confirmed is when the witnesses became enough; far in the future before.
	confirmed time.Time
}

func (s *State) accused(m *member) bool {
	_, accused := s.accusations[m.node.ID]
	return accused
}

// accuse makes this daemon a witness against the subject.
func (s *State) accuse(subject *member) {
	if subject.node.State == structs.NodeDead {
		return
	}
	s.addWitness(subject, s.options.Self.ID, "")
}

// receiveAccusations takes over accusations; a daemon that finds itself
// accused contradicts.
func (s *State) receiveAccusations(from *member, m *gossipv1.Message) {
	for _, a := range m.Accusations {
		subject, known := s.members[structs.NodeID(a.Subject)]
		witness, witnessKnown := s.members[structs.NodeID(a.Witness)]
		if !known || !witnessKnown || witness == subject || witness.node.State == structs.NodeDead {
			continue
		}
		if subject.node.State == structs.NodeDead || !current(subject, a) {
			continue
		}
		if subject.node.ID == s.options.Self.ID {
			s.refute(subject)
			continue
		}
		s.addWitness(subject, witness.node.ID, from.node.ID)
	}
}

func current(subject *member, a *gossipv1.Accusation) bool {
	return uint64(subject.node.Incarnation) == a.Incarnation && subject.revision == a.Revision
}

// refute raises the daemon's own revision, which voids the accusations.
func (s *State) refute(self *member) {
	self.revision++
	s.publishSelf()
	s.flush()
}

func (s *State) addWitness(subject *member, witness, source structs.NodeID) {
	a, accused := s.accusations[subject.node.ID]
	if !accused {
		a = &accusation{incarnation: subject.node.Incarnation, revision: subject.revision, confirmed: farFuture}
		s.accusations[subject.node.ID] = a
	}
	if slices.Contains(a.witnesses, witness) {
		return
	}
	a.witnesses = append(a.witnesses, witness)
	if a.confirmed == farFuture && s.independent(subject, a.witnesses) {
		a.confirmed = s.now
	}
	s.report(subject, false)
	s.spreadAccusation(subject, a, witness, source)
}

// spreadAccusation tells the neighbours; a first-hand one also goes straight
// to the subject and to the other watchers, who decide together.
func (s *State) spreadAccusation(subject *member, a *accusation, witness, source structs.NodeID) {
	targets := slices.Clone(s.topology().neighbours)
	if source == "" {
		targets = append(targets, subject)
		targets = append(targets, s.watchersOf(subject, s.membersByZone())...)
	}
	var told []structs.NodeID
	for _, target := range targets {
		id := target.node.ID
		if id == source || id == s.options.Self.ID || slices.Contains(told, id) {
			continue
		}
		told = append(told, id)
		s.send(target.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{a.message(subject, witness)}})
	}
}

func (a *accusation) message(subject *member, witness structs.NodeID) *gossipv1.Accusation {
	return &gossipv1.Accusation{
		Subject:     string(subject.node.ID),
		Incarnation: uint64(a.incarnation),
		Revision:    a.revision,
		Witness:     string(witness),
	}
}

// repeatAccusations tells each daemon that this one accuses so again, in case
// it is reachable once more and can contradict.
func (s *State) repeatAccusations() {
	for _, id := range sortedKeys(s.accusations) {
		a := s.accusations[id]
		if slices.Contains(a.witnesses, s.options.Self.ID) {
			subject := s.members[id]
			message := a.message(subject, s.options.Self.ID)
			s.send(subject.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{message}})
		}
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
		w.deadline = s.now.Add(s.timing.Grace)
	}
}

// independent reports whether the witnesses are enough to remove the subject:
// two of its own zone, or two of different zones.
func (s *State) independent(subject *member, witnesses []structs.NodeID) bool {
	zones := map[structs.ZoneName]bool{}
	inZone := 0
	for _, id := range witnesses {
		witness, known := s.members[id]
		if !known || witness.node.State == structs.NodeDead {
			continue
		}
		zones[witness.node.Zone] = true
		if witness.node.Zone == subject.node.Zone {
			inZone++
		}
	}
	return inZone >= requiredWitnesses || len(zones) >= requiredWitnesses
}

// checkAccusations removes the daemons that this one accuses, that enough
// others accuse and that did not contradict in time.
func (s *State) checkAccusations() {
	for _, id := range sortedKeys(s.accusations) {
		a := s.accusations[id]
		subject := s.members[id]
		if s.now.Before(a.confirmed.Add(s.timing.Refutation)) || !slices.Contains(a.witnesses, s.options.Self.ID) {
			continue
		}
		if !s.mayRemove(subject) {
			a.confirmed = s.now
			continue
		}
		s.remove(subject, a)
	}
}

// mayRemove reports whether this daemon is on the side of a partition that may
// remove others: one that holds a majority of all members, or of the zone.
func (s *State) mayRemove(subject *member) bool {
	all, reached := 0, 0
	zone, zoneReached := 0, 0
	for _, m := range s.members {
		if m.node.State == structs.NodeDead {
			continue
		}
		all++
		present := s.present(m).State != structs.NodeSuspect
		if present {
			reached++
		}
		if m.node.Zone != subject.node.Zone {
			continue
		}
		zone++
		if present {
			zoneReached++
		}
	}
	zoneMajority := zone > watcherCount && zoneReached*2 > zone && s.options.Self.Zone == subject.node.Zone
	return reached*2 > all || zoneMajority
}

func (s *State) remove(subject *member, a *accusation) {
	witnesses := make([]string, 0, len(a.witnesses))
	for _, id := range a.witnesses {
		witnesses = append(witnesses, string(id))
	}
	s.learn(&gossipv1.Fact{
		Key:   nodeKey(subject.node.ID),
		Major: uint64(a.incarnation),
		Minor: math.MaxUint64,
		Value: encodeNode(subject.node, witnesses),
	}, "")
	s.flush()
}
