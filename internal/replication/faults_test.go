package replication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// faultTest injects faults into five daemons, three of which are members of the
// shard. It proposes records at the leader and remembers the acknowledged ones.
type faultTest struct {
	t                *testing.T
	network          *network
	random           *rand.Rand
	daemons          map[string]*daemon
	incarnations     map[string]uint64
	storages         map[string]*memoryStorage
	acknowledged     []string
	lastRecordNumber int
}

func newFaultTest(t *testing.T, seed uint64) *faultTest {
	c := &faultTest{
		t: t, network: newNetwork(time.Millisecond), random: rand.New(rand.NewPCG(seed, 7)),
		daemons: map[string]*daemon{}, incarnations: map[string]uint64{}, storages: map[string]*memoryStorage{"a": {}, "d": {}},
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		c.startDaemon(name)
	}
	group := InitialGroup{Shard: testShard, Members: members(c.daemons["a"], c.daemons["b"], c.daemons["c"])}
	for _, d := range c.daemons {
		require.NoError(t, d.CreateReplica(group))
	}
	return c
}

// startDaemon starts a daemon. One without storage starts as a new incarnation.
func (c *faultTest) startDaemon(name string) {
	storage, stored := c.storages[name]
	if !stored || c.incarnations[name] == 0 {
		c.incarnations[name]++
	}
	c.daemons[name] = c.network.start(c.t, name, c.incarnations[name], func(o *Options) {
		if stored {
			o.Storage = storage
		}
	})
}

// propose tries the daemons in random order until one leads the shard and commits
// the record, like a caller that retries.
func (c *faultTest) propose() {
	c.lastRecordNumber++
	record := fmt.Sprintf("r%d", c.lastRecordNumber)
	for _, name := range c.shuffledNames() {
		d := c.daemons[name]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		leader, err := d.EnsureLeader(ctx, testShard)
		cancel()
		if err != nil || leader != d.self.Node {
			continue
		}
		ctx, cancel = context.WithTimeout(context.Background(), 2*time.Second)
		err = d.Propose(ctx, testShard, []byte(record))
		cancel()
		if err == nil {
			c.acknowledged = append(c.acknowledged, record)
			return
		}
	}
}

func (c *faultTest) shuffledNames() []string {
	names := []string{"a", "b", "c", "d", "e"}
	c.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// replaceDaemon kills and restarts a daemon, then changes the members of the group.
func (c *faultTest) replaceDaemon() {
	name := c.shuffledNames()[0]
	c.network.kill(c.t, c.daemons[name])
	for _, d := range c.daemons {
		if string(d.self.Node) != name {
			d.SuspectNode(c.daemons[name].self.Node)
		}
	}
	c.propose()
	c.startDaemon(name)
	c.reconfigure()
}

// reconfigure changes the group to three random daemons and waits for the change.
func (c *faultTest) reconfigure() {
	names := c.shuffledNames()[:3]
	slices.Sort(names)
	list := members(c.daemons[names[0]], c.daemons[names[1]], c.daemons[names[2]])
	for range 20 {
		c.propose()
		for _, d := range c.daemons {
			d.ReconcileMembers(testShard, list)
		}
		time.Sleep(time.Second)
	}
	for _, name := range names {
		status, found := c.daemons[name].Status(testShard)
		require.True(c.t, found && !status.Removed, "%s is not a member", name)
		require.Len(c.t, status.Members, 3)
	}
}

// isolate cuts a daemon off from the others, proposes records and reconnects it.
func (c *faultTest) isolate() {
	d := c.daemons[c.shuffledNames()[0]]
	c.network.setIsolated(d, true)
	for _, other := range c.daemons {
		if other != d {
			other.SuspectNode(d.self.Node)
		}
	}
	for range 3 {
		c.propose()
	}
	c.network.setIsolated(d, false)
	time.Sleep(suspicionTTL)
}

// checkRecords checks that all members hold the same records, that none is applied
// twice and that no acknowledged one is lost.
func (c *faultTest) checkRecords() {
	c.propose()
	time.Sleep(5 * time.Second)
	var reference []string
	for _, d := range c.daemons {
		if len(d.Statuses()) == 0 {
			continue
		}
		records := d.records(testShard)
		if reference == nil {
			reference = records
		}
		require.Equal(c.t, reference, records)
	}
	seen := map[string]bool{}
	for _, record := range reference {
		require.False(c.t, seen[record], "record %s was applied twice", record)
		seen[record] = true
	}
	for _, record := range c.acknowledged {
		require.True(c.t, seen[record], "record %s was acknowledged and then lost", record)
	}
}

func TestAcknowledgedRecordsSurviveFaults(t *testing.T) {
	const seeds, rounds = 12, 6
	acknowledged := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newFaultTest(t, seed)
			defer c.network.closeAll(t)
			for range rounds {
				for range 5 {
					c.propose()
				}
				if c.random.IntN(2) == 0 {
					c.isolate()
				} else {
					c.replaceDaemon()
				}
				c.checkRecords()
			}
			acknowledged += len(c.acknowledged)
		})
	}
	t.Logf("%d seeds, %d faults, %d records acknowledged", seeds, seeds*rounds, acknowledged)
}

func TestGroupRestartsFromStorage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		defer n.closeAll(t)
		names, storages := []string{"a", "b", "c"}, map[string]*memoryStorage{"a": {}, "b": {}, "c": {}}
		startAll := func() []*daemon {
			var group []*daemon
			for _, name := range names {
				group = append(group, n.start(t, name, 1, func(o *Options) { o.Storage = storages[name] }))
			}
			return group
		}
		group := startAll()
		for _, d := range group {
			require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(group...)}))
		}
		for leader := range 3 {
			_, err := group[leader].EnsureLeader(context.Background(), testShard)
			require.NoError(t, err)
			proposeMany(t, group[leader], fmt.Sprint(leader), 10)
			for _, d := range group {
				n.kill(t, d)
			}
			group = startAll()
		}
		_, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Len(t, group[0].records(testShard), 30)
	})
}
