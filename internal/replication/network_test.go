package replication

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// network connects hosts in one process. It encodes batches and delivers them in
// order and with the same delay, unless a node is isolated.
type network struct {
	mutex      sync.Mutex
	hosts      map[structs.NodeID]*Host
	queues     map[structs.NodeID]chan delivery
	isolated   map[structs.NodeID]bool
	delay      time.Duration
	bytes      int
	batches    int
	goroutines sync.WaitGroup
}

type delivery struct {
	data      []byte
	deliverAt time.Time
}

func newNetwork(delay time.Duration) *network {
	return &network{
		hosts: map[structs.NodeID]*Host{}, queues: map[structs.NodeID]chan delivery{},
		isolated: map[structs.NodeID]bool{}, delay: delay,
	}
}

type endpoint struct {
	network *network
	self    structs.NodeID
}

func (e *endpoint) Send(to structs.NodeID, batch *journalv1.Batch) {
	data, _ := proto.Marshal(batch)
	n := e.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.batches, n.bytes = n.batches+1, n.bytes+len(data)
	if queue, known := n.queues[to]; known && !n.isolated[e.self] && !n.isolated[to] {
		select {
		case queue <- delivery{data: data, deliverAt: time.Now().Add(n.delay)}:
		default:
		}
	}
}

// deliver passes batches to a host until it is closed.
func (n *network) deliver(to *Host, queue chan delivery) {
	for {
		select {
		case <-to.closing:
			return
		case item := <-queue:
			time.Sleep(time.Until(item.deliverAt))
			batch := &journalv1.Batch{}
			if !n.isIsolated(to.self.Node) && proto.Unmarshal(item.data, batch) == nil {
				to.Receive(batch)
			}
		}
	}
}

func (n *network) isIsolated(id structs.NodeID) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isolated[id]
}

// recordingMachine is a state machine that stores its records.
type recordingMachine struct {
	mutex   sync.Mutex
	records []string
}

func (c *recordingMachine) Apply(_ uint64, data []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, string(data))
}

func (c *recordingMachine) Snapshot() ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var data []byte
	for _, record := range c.records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data, nil
}

func (c *recordingMachine) Restore(data []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = nil
	for len(data) > 0 {
		size := binary.BigEndian.Uint32(data)
		c.records = append(c.records, string(data[4:4+size]))
		data = data[4+size:]
	}
	return nil
}

func (c *recordingMachine) recordsCopy() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]string{}, c.records...)
}

// daemon is a host with its state machines.
type daemon struct {
	*Host
	machines sync.Map
}

func (d *daemon) records(id structs.ShardID) []string {
	machine, ok := d.machines.Load(id)
	if !ok {
		return nil
	}
	return machine.(*recordingMachine).recordsCopy()
}

func (n *network) start(t testing.TB, name string, incarnation uint64, adjust func(*Options)) *daemon {
	t.Helper()
	d := &daemon{}
	options := Options{
		Self:      structs.Node{ID: structs.NodeID(name), Incarnation: structs.Incarnation(incarnation)},
		Transport: &endpoint{network: n, self: structs.NodeID(name)},
		Seed:      incarnation + uint64(name[0]),
		NewStateMachine: func(id structs.ShardID) StateMachine {
			machine := &recordingMachine{}
			d.machines.Store(id, machine)
			return machine
		},
	}
	if adjust != nil {
		adjust(&options)
	}
	host, err := NewHost(options)
	require.NoError(t, err)
	d.Host = host
	n.mutex.Lock()
	defer n.mutex.Unlock()
	queue := make(chan delivery, 1<<16)
	n.hosts[host.self.Node], n.queues[host.self.Node], n.isolated[host.self.Node] = host, queue, false
	n.goroutines.Go(func() { n.deliver(host, queue) })
	return d
}

// kill isolates and closes a host without draining it, like a crash.
func (n *network) kill(t testing.TB, d *daemon) {
	t.Helper()
	n.setIsolated(d, true)
	require.NoError(t, d.Close())
}

func (n *network) closeAll(t testing.TB) {
	n.mutex.Lock()
	hosts := maps.Clone(n.hosts)
	n.mutex.Unlock()
	for _, host := range hosts {
		require.NoError(t, host.Close())
	}
	n.goroutines.Wait()
}

func (n *network) setIsolated(d *daemon, isolated bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[d.self.Node] = isolated
}

func members(daemons ...*daemon) []Member {
	var list []Member
	for _, d := range daemons {
		list = append(list, Member{Node: d.self.Node, Incarnation: d.self.Incarnation})
	}
	return list
}

// startGroup starts the daemons a, b, … as the members of testShard.
func startGroup(t testing.TB, n *network, size int) []*daemon {
	t.Helper()
	var daemons []*daemon
	for i := range size {
		daemons = append(daemons, n.start(t, string(rune('a'+i)), 1, nil))
	}
	for _, d := range daemons {
		require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(daemons...)}))
	}
	return daemons
}

// incompressibleBytes returns random bytes.
func incompressibleBytes(seed, size int) []byte {
	data := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)}).Read(data)
	return data
}

const testShard structs.ShardID = 7

func proposeMany(t testing.TB, d *daemon, prefix string, count int) {
	t.Helper()
	for i := range count {
		require.NoError(t, d.Propose(context.Background(), testShard, fmt.Appendf(nil, "%s-%d", prefix, i)))
	}
}
