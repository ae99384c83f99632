package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// step is the resolution of simulated time.
const step = 20 * time.Millisecond

type peer struct {
	node    structs.Node
	state   *membership.State
	running bool
	paused  bool
	// versions are the newest item versions that this incarnation of the daemon
	// reported.
	versions map[string]uint64
	removals int
}

type delivery struct {
	at   time.Time
	to   *peer
	from *peer
	data []byte
}

// simulation runs states over a lossy network and checks their events.
type simulation struct {
	now      time.Time
	random   *rand.Rand
	loss     float64
	cutZones map[structs.ZoneName]bool
	// rack is a set of daemons that can reach only each other.
	rack     map[*peer]bool
	peers    []*peer
	inFlight []delivery
	faults   []string
	inspect  func(from *peer, m *gossipv1.Message)
}

func newSimulation(seed uint64, count, zones int) *simulation {
	s := &simulation{
		now:      time.Unix(1000, 0),
		random:   rand.New(rand.NewPCG(seed, 9)),
		cutZones: map[structs.ZoneName]bool{},
		rack:     map[*peer]bool{},
	}
	for i := range count {
		p := &peer{node: structs.Node{
			ID:          structs.NodeID(fmt.Sprintf("n%02d", i)),
			Zone:        structs.ZoneName(fmt.Sprintf("z%d", i%zones)),
			Region:      "r",
			PeerAddress: fmt.Sprintf("10.0.0.%d:1", i+1),
		}}
		s.peers = append(s.peers, p)
		s.start(p)
	}
	return s
}

func (s *simulation) start(p *peer) {
	p.node.Incarnation++
	p.node.State = structs.NodeAlive
	p.running, p.paused = true, false
	p.versions = map[string]uint64{}
	p.state = membership.New(membership.Options{
		Self:   p.node,
		Seeds:  []string{s.peers[0].node.PeerAddress, s.peers[min(1, len(s.peers)-1)].node.PeerAddress},
		Random: rand.New(rand.NewPCG(s.random.Uint64(), uint64(p.node.Incarnation))),
	})
}

// run advances the simulated time.
func (s *simulation) run(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.deliverDue()
		for _, p := range s.peers {
			if p.running && !p.paused {
				p.state.Tick(s.now)
				s.collect(p)
			}
		}
	}
}

func (s *simulation) deliverDue() {
	due := slices.DeleteFunc(slices.Clone(s.inFlight), func(d delivery) bool { return d.at.After(s.now) })
	s.inFlight = slices.DeleteFunc(s.inFlight, func(d delivery) bool { return !d.at.After(s.now) })
	for _, d := range due {
		if !d.to.running || d.to.paused {
			continue
		}
		m := &gossipv1.Message{}
		if err := proto.Unmarshal(d.data, m); err != nil {
			s.faults = append(s.faults, err.Error())
			continue
		}
		d.to.state.Receive(s.now, m)
		s.collect(d.to)
	}
}

func (s *simulation) collect(p *peer) {
	outgoing, events := p.state.Drain()
	for _, out := range outgoing {
		if s.inspect != nil {
			s.inspect(p, out.Message)
		}
		s.transmit(p, out)
	}
	for _, event := range events {
		s.checkEvent(p, event)
	}
}

func (s *simulation) transmit(from *peer, out membership.Outgoing) {
	index := slices.IndexFunc(s.peers, func(p *peer) bool { return p.node.PeerAddress == out.To.PeerAddress })
	if index < 0 {
		return
	}
	to := s.peers[index]
	if from.node.Zone != to.node.Zone && (s.cutZones[from.node.Zone] || s.cutZones[to.node.Zone]) {
		return
	}
	if s.rack[from] != s.rack[to] || s.random.Float64() < s.loss {
		return
	}
	data, err := proto.Marshal(out.Message)
	if err != nil {
		s.faults = append(s.faults, err.Error())
		return
	}
	delay := time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
	s.inFlight = append(s.inFlight, delivery{s.now.Add(delay), to, from, data})
}

// checkEvent checks an event against the oracle.
func (s *simulation) checkEvent(p *peer, event membership.Event) {
	switch event.Kind {
	case membership.ItemChanged:
		if event.Item.Version < p.versions[event.Item.Key] {
			s.faults = append(s.faults, fmt.Sprintf("%s: version of item %s decreased to %d", p.node.ID, event.Item.Key, event.Item.Version))
		}
		p.versions[event.Item.Key] = event.Item.Version
	case membership.SelfRemoved:
		p.removals++
		p.node.Incarnation++
		p.state.Rejoin(s.now, p.node.Incarnation)
	case membership.NodeChanged:
		s.checkNode(p, event.Node)
	}
}

func (s *simulation) checkNode(p *peer, node structs.Node) {
	index := slices.IndexFunc(s.peers, func(other *peer) bool { return other.node.ID == node.ID })
	if node.Incarnation > s.peers[index].node.Incarnation {
		s.faults = append(s.faults, fmt.Sprintf("%s: %s has an incarnation %d that never existed", p.node.ID, node.ID, node.Incarnation))
	}
}

// disagreement describes the first difference between the views of running daemons and
// the actual state; empty if there is none.
func (s *simulation) disagreement() string {
	for _, viewer := range s.peers {
		if !viewer.running {
			continue
		}
		for _, subject := range s.peers {
			node, known := viewer.state.Node(subject.node.ID)
			switch {
			case subject.running && (!known || node.State != structs.NodeAlive || node.Incarnation != subject.node.Incarnation):
				return fmt.Sprintf("%s sees running %s as %q with incarnation %d (actual: %d)", viewer.node.ID, subject.node.ID, node.State, node.Incarnation, subject.node.Incarnation)
			case !subject.running && known && node.State == structs.NodeAlive:
				return fmt.Sprintf("%s sees stopped %s as alive", viewer.node.ID, subject.node.ID)
			}
		}
	}
	return ""
}

// publication is the last published version of an item, and the incarnation that
// published it.
type publication struct {
	version     uint64
	publisher   *peer
	incarnation structs.Incarnation
}

// itemDisagreement describes the first item of which the running daemons hold different
// versions; empty if there is none. They must hold the last published version, unless
// its publisher crashed: then it may be lost on all daemons.
func (s *simulation) itemDisagreement(published map[string]publication) string {
	for key, last := range published {
		first, _ := s.peers[0].state.Item(key)
		survives := last.publisher.node.Incarnation == last.incarnation
		if survives && first.Version != last.version || first.Version > last.version {
			return fmt.Sprintf("%s has version %d, but version %d was published", key, first.Version, last.version)
		}
		for _, viewer := range s.peers {
			if item, _ := viewer.state.Item(key); item.Version != first.Version {
				return fmt.Sprintf("%s holds %s at version %d instead of %d", viewer.node.ID, key, item.Version, first.Version)
			}
		}
	}
	return ""
}
