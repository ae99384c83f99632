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
	witnesses   []witness
	// probed is when this daemon's own probe had begun, if it is a witness.
	probed time.Time
	// isolated is set while this daemon seems to be cut off itself.
	isolated bool
	// confirmed is when the witnesses became enough; far in the future before.
	confirmed time.Time
}

// witness is a daemon that accuses. It renews its accusation, so that one whose
// witness is gone does not stay for ever.
type witness struct {
	id    structs.NodeID
	round uint32
	heard time.Time
}

const (
	// renewal is how often a witness tells all again.
	renewal = 5 * time.Second
	// accusationLife is how long an accusation that is not renewed counts.
	accusationLife = 12 * time.Second
)

func (a *accusation) witness(id structs.NodeID) *witness {
	for i := range a.witnesses {
		if a.witnesses[i].id == id {
			return &a.witnesses[i]
		}
	}
	return nil
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
	s.addWitness(subject, s.options.Self.ID, 1, "")
	s.accusations[subject.node.ID].probed = s.now.Add(-s.timing.ProbeTimeout)
}

// receiveAccusations takes over accusations; a daemon that finds itself
// accused contradicts.
func (s *State) receiveAccusations(from *member, m *gossipv1.Message) {
	for _, a := range m.Accusations {
		subject, known := s.members[structs.NodeID(a.Subject)]
		accuser, accuserKnown := s.members[structs.NodeID(a.Witness)]
		if !known || !accuserKnown || accuser == subject || accuser.node.State == structs.NodeDead {
			continue
		}
		if subject.node.State == structs.NodeDead || !current(subject, a) {
			continue
		}
		if subject.node.ID == s.options.Self.ID {
			s.refute(subject)
			continue
		}
		s.addWitness(subject, accuser.node.ID, a.Round, from.node.ID)
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

func (s *State) addWitness(subject *member, id structs.NodeID, round uint32, source structs.NodeID) {
	a, accused := s.accusations[subject.node.ID]
	if !accused {
		a = &accusation{incarnation: subject.node.Incarnation, revision: subject.revision, confirmed: farFuture}
		s.accusations[subject.node.ID] = a
	}
	held := a.witness(id)
	if held != nil && round <= held.round {
		return
	}
	if held == nil {
		a.witnesses = append(a.witnesses, witness{id: id})
		held = a.witness(id)
	}
	held.round, held.heard = round, s.now
	if a.confirmed == farFuture && s.independent(subject, a.witnesses) {
		a.confirmed = s.now
	}
	s.report(subject, false)
	s.spreadAccusation(subject, a, held, source)
}

// spreadAccusation tells the neighbours; a first-hand one also goes straight
// to the subject and to the other watchers, who decide together.
func (s *State) spreadAccusation(subject *member, a *accusation, by *witness, source structs.NodeID) {
	targets := slices.Clone(s.topology().neighbours)
	if source == "" {
		targets = append(targets, subject)
		targets = append(targets, s.watchersOf(subject, s.byZone)...)
	}
	var told []structs.NodeID
	for _, target := range targets {
		id := target.node.ID
		if id == source || id == s.options.Self.ID || slices.Contains(told, id) {
			continue
		}
		told = append(told, id)
		s.send(target.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{a.message(subject, by)}})
	}
}

func (a *accusation) message(subject *member, by *witness) *gossipv1.Accusation {
	return &gossipv1.Accusation{
		Subject:     string(subject.node.ID),
		Incarnation: uint64(a.incarnation),
		Revision:    a.revision,
		Witness:     string(by.id),
		Round:       by.round,
	}
}

// repeatAccusations tells each daemon that this one accuses so again, in case
// it is reachable once more and can contradict, and now and then all others.
func (s *State) repeatAccusations() {
	for _, id := range sortedKeys(s.accusations) {
		a, subject := s.accusations[id], s.members[id]
		own := a.witness(s.options.Self.ID)
		if own == nil {
			continue
		}
		if s.now.Sub(own.heard) >= renewal {
			s.addWitness(subject, own.id, own.round+1, "")
			continue
		}
		s.send(subject.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{a.message(subject, own)}})
	}
}

// expireWitnesses drops accusations that were not renewed.
func (s *State) expireWitnesses(subject *member, a *accusation) {
	a.witnesses = slices.DeleteFunc(a.witnesses, func(w witness) bool { return s.now.Sub(w.heard) > accusationLife })
	if !s.independent(subject, a.witnesses) {
		a.confirmed = farFuture
	}
	if len(a.witnesses) == 0 {
		delete(s.accusations, subject.node.ID)
		s.report(subject, false)
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
		w.deadline = s.now.Add(s.timing.InitialTimeout)
	}
}

// independent reports whether the witnesses are enough to remove the subject:
// two of its own zone, or two of different zones.
func (s *State) independent(subject *member, witnesses []witness) bool {
	zones := map[structs.ZoneName]bool{}
	inZone := 0
	for _, by := range witnesses {
		accuser, known := s.members[by.id]
		if !known || accuser.node.State == structs.NodeDead {
			continue
		}
		zones[accuser.node.Zone] = true
		if accuser.node.Zone == subject.node.Zone {
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
		s.expireWitnesses(subject, a)
		if s.now.Before(a.confirmed.Add(s.timing.RefutationTimeout)) || a.witness(s.options.Self.ID) == nil {
			continue
		}
		if s.holdRemoval(subject, a) {
			a.confirmed = s.now
			continue
		}
		s.remove(subject, a)
	}
}

// holdRemoval reports whether a removal has to wait for another refutation
// time: while this daemon seems cut off, and once more when it no longer does,
// so that the accused can hear of the accusation and contradict.
func (s *State) holdRemoval(subject *member, a *accusation) bool {
	own := a.witness(s.options.Self.ID)
	s.send(subject.node, &gossipv1.Message{Accusations: []*gossipv1.Accusation{a.message(subject, own)}})
	if !s.connected(a) || !s.mayRemove(subject) {
		a.isolated = true
		a.probed = s.now
		s.askElsewhere(subject)
		return true
	}
	held := a.isolated
	a.isolated = false
	return held
}

// connected reports whether this daemon heard from another zone since it began
// to probe the accused. A rack that is cut off within its zone does not, and so
// removes none of the others.
func (s *State) connected(a *accusation) bool {
	return len(s.topology().zones) < 2 || s.heardElsewhere.After(a.probed)
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
	for _, by := range a.witnesses {
		witnesses = append(witnesses, string(by.id))
	}
	s.learn(&gossipv1.Fact{
		Key:   nodeKey(subject.node.ID),
		Major: uint64(a.incarnation),
		Minor: math.MaxUint64,
		Value: encodeNode(subject.node, witnesses),
	}, "")
	s.flush()
}
