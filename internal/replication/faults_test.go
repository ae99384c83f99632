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

// chaos plays faults on five daemons of which three hold the shard, with
// proposals at whoever leads, and remembers what was acknowledged.
type chaos struct {
	t            *testing.T
	network      *network
	random       *rand.Rand
	daemons      map[string]*daemon
	lives        map[string]uint64
	disks        map[string]*durable
	acknowledged []string
	next         int
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{
		t: t, network: newNetwork(time.Millisecond), random: rand.New(rand.NewPCG(seed, 7)),
		daemons: map[string]*daemon{}, lives: map[string]uint64{}, disks: map[string]*durable{"a": {}, "d": {}},
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		c.start(name)
	}
	group := InitialGroup{Shard: testShard, Members: members(c.daemons["a"], c.daemons["b"], c.daemons["c"])}
	for _, d := range c.daemons {
		require.NoError(t, d.CreateReplica(group))
	}
	return c
}

// start begins a life without memory, unless the daemon has a disk.
func (c *chaos) start(name string) {
	disk, has := c.disks[name]
	if !has || c.lives[name] == 0 {
		c.lives[name]++
	}
	c.daemons[name] = c.network.start(c.t, name, c.lives[name], func(o *Options) {
		if has {
			o.Storage = disk
		}
	})
}

// propose asks every daemon in turn until one takes the record, as a caller's
// retries would; a record of unknown fate is not sent again.
func (c *chaos) propose() {
	c.next++
	record := fmt.Sprintf("r%d", c.next)
	for _, name := range c.shuffled() {
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

func (c *chaos) shuffled() []string {
	names := []string{"a", "b", "c", "d", "e"}
	c.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// replace kills a daemon and starts it again, then lets the group take it, or
// another, as its member.
func (c *chaos) replace() {
	name := c.shuffled()[0]
	c.network.kill(c.t, c.daemons[name])
	for _, d := range c.daemons {
		if string(d.self.Node) != name {
			d.SuspectNode(c.daemons[name].self.Node)
		}
	}
	c.propose()
	c.start(name)
	c.settle()
}

// settle makes a group of three daemons, and waits until it is.
func (c *chaos) settle() {
	wanted := c.shuffled()[:3]
	slices.Sort(wanted)
	list := members(c.daemons[wanted[0]], c.daemons[wanted[1]], c.daemons[wanted[2]])
	for range 20 {
		c.propose()
		for _, d := range c.daemons {
			d.ReconcileMembers(testShard, list)
		}
		time.Sleep(time.Second)
	}
	for _, name := range wanted {
		status, held := c.daemons[name].Status(testShard)
		require.True(c.t, held && !status.Removed, "%s is no member", name)
		require.Len(c.t, status.Members, 3)
	}
}

// isolate cuts a daemon off for a while, in which the others go on.
func (c *chaos) isolate() {
	d := c.daemons[c.shuffled()[0]]
	c.network.isolate(d, true)
	for _, other := range c.daemons {
		if other != d {
			other.SuspectNode(d.self.Node)
		}
	}
	for range 3 {
		c.propose()
	}
	c.network.isolate(d, false)
	time.Sleep(flagLifetime)
}

// check compares all members with one another and with what was acknowledged.
func (c *chaos) check() {
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
		require.False(c.t, seen[record], "%s applied twice", record)
		seen[record] = true
	}
	for _, record := range c.acknowledged {
		require.True(c.t, seen[record], "%s acknowledged and lost", record)
	}
}

func TestAcknowledgedRecordsSurviveFaults(t *testing.T) {
	const seeds, rounds = 12, 6
	acknowledged := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newChaos(t, seed)
			defer c.network.closeAll(t)
			for range rounds {
				for range 5 {
					c.propose()
				}
				if c.random.IntN(2) == 0 {
					c.isolate()
				} else {
					c.replace()
				}
				c.check()
			}
			acknowledged += len(c.acknowledged)
		})
	}
	t.Logf("%d histories, %d faults, %d records acknowledged", seeds, seeds*rounds, acknowledged)
}

func TestGroupRestartsFromStorage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		defer n.closeAll(t)
		names, disks := []string{"a", "b", "c"}, map[string]*durable{"a": {}, "b": {}, "c": {}}
		begin := func() []*daemon {
			var group []*daemon
			for _, name := range names {
				group = append(group, n.start(t, name, 1, func(o *Options) { o.Storage = disks[name] }))
			}
			return group
		}
		group := begin()
		for _, d := range group {
			require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(group...)}))
		}
		for life := range 3 {
			_, err := group[life].EnsureLeader(context.Background(), testShard)
			require.NoError(t, err)
			proposeMany(t, group[life], fmt.Sprint(life), 10)
			for _, d := range group {
				n.kill(t, d)
			}
			group = begin()
		}
		_, err := group[0].EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Len(t, group[0].records(testShard), 30)
	})
}
