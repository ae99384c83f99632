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

// network connects hosts of one process. Batches travel encoded, in the order
// in which they were sent, with the same delay, unless a node is cut off.
type network struct {
	mutex   sync.Mutex
	hosts   map[structs.NodeID]*Host
	queues  map[structs.NodeID]chan delivery
	cut     map[structs.NodeID]bool
	delay   time.Duration
	bytes   int
	batches int
	done    sync.WaitGroup
}

type delivery struct {
	data []byte
	due  time.Time
}

func newNetwork(delay time.Duration) *network {
	return &network{
		hosts: map[structs.NodeID]*Host{}, queues: map[structs.NodeID]chan delivery{},
		cut: map[structs.NodeID]bool{}, delay: delay,
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
	if queue, known := n.queues[to]; known && !n.cut[e.self] && !n.cut[to] {
		select {
		case queue <- delivery{data: data, due: time.Now().Add(n.delay)}:
		default:
		}
	}
}

// deliver hands batches to a host until it is closed.
func (n *network) deliver(to *Host, queue chan delivery) {
	for {
		select {
		case <-to.closing:
			return
		case item := <-queue:
			time.Sleep(time.Until(item.due))
			batch := &journalv1.Batch{}
			if !n.isCut(to.self.Node) && proto.Unmarshal(item.data, batch) == nil {
				to.Receive(batch)
			}
		}
	}
}

func (n *network) isCut(id structs.NodeID) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[id]
}

// counter is a state machine that remembers its records.
type counter struct {
	mutex   sync.Mutex
	records []string
}

func (c *counter) Apply(_ uint64, data []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, string(data))
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var data []byte
	for _, record := range c.records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data, nil
}

func (c *counter) Restore(data []byte) error {
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

func (c *counter) all() []string {
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
	return machine.(*counter).all()
}

func (n *network) start(t testing.TB, name string, incarnation uint64, adjust func(*Options)) *daemon {
	t.Helper()
	d := &daemon{}
	options := Options{
		Self:      structs.Node{ID: structs.NodeID(name), Incarnation: structs.Incarnation(incarnation)},
		Transport: &endpoint{network: n, self: structs.NodeID(name)},
		Seed:      incarnation + uint64(name[0]),
		NewStateMachine: func(id structs.ShardID) StateMachine {
			machine := &counter{}
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
	n.hosts[host.self.Node], n.queues[host.self.Node], n.cut[host.self.Node] = host, queue, false
	n.done.Go(func() { n.deliver(host, queue) })
	return d
}

// kill stops a host as a crash would: nothing is handed over.
func (n *network) kill(t testing.TB, d *daemon) {
	t.Helper()
	n.isolate(d, true)
	require.NoError(t, d.Close())
}

func (n *network) closeAll(t testing.TB) {
	n.mutex.Lock()
	hosts := maps.Clone(n.hosts)
	n.mutex.Unlock()
	for _, host := range hosts {
		require.NoError(t, host.Close())
	}
	n.done.Wait()
}

func (n *network) isolate(d *daemon, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[d.self.Node] = cut
}

func members(daemons ...*daemon) []Member {
	var list []Member
	for _, d := range daemons {
		list = append(list, Member{Node: d.self.Node, Incarnation: d.self.Incarnation})
	}
	return list
}

// startGroup starts daemons a, b, … with one shard 7.
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

// noise returns bytes that do not compress.
func noise(seed, size int) []byte {
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
