package daemon

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/cluster"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// shardKeyPrefix begins the keys of items that tell where a shard is.
const shardKeyPrefix = "s/"

// termShift leaves room below a term for the changes within it, so that a
// shard's items rise with the term and, within a term, with the membership.
const termShift = 24

// shardPlace is the value of a shard's item: who holds it, the leader first.
type shardPlace struct {
	// Nodes are the members; the first one leads, unless Genesis is set.
	Nodes []structs.NodeID `json:"n"`
	// Genesis is set in the shard's first item alone, which the first members
	// create their replicas from.
	Genesis []replication.Member `json:"g,omitempty"`
}

func shardKey(shard structs.ShardID) string {
	return shardKeyPrefix + strconv.FormatUint(uint64(shard), 36)
}

func shardOfKey(key string) (structs.ShardID, bool) {
	digits, found := strings.CutPrefix(key, shardKeyPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 36, 32)
	return structs.ShardID(number), err == nil
}

// directory knows where shards are, by what their leaders told. It is a hint:
// a stale entry costs a hop.
type directory struct {
	mutex  sync.RWMutex
	places map[structs.ShardID][]structs.NodeID
}

func newDirectory() *directory {
	return &directory{places: map[structs.ShardID][]structs.NodeID{}}
}

// Members returns nodes to ask for the shard, the believed leader first.
func (d *directory) Members(shard structs.ShardID) []structs.NodeID {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.places[shard]
}

func (d *directory) set(shard structs.ShardID, nodes []structs.NodeID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.places[shard] = nodes
}

// takeItem learns from a shard's item and creates this daemon's replica where
// the item names it as one of the first members.
func (d *Daemon) takeItem(item cluster.Item) {
	shard, isShard := shardOfKey(item.Key)
	if !isShard {
		return
	}
	place := shardPlace{}
	if json.Unmarshal(item.Value, &place) != nil {
		return
	}
	d.directory.set(shard, place.Nodes)
	running := d.core.Load()
	if running == nil || len(place.Genesis) == 0 {
		return
	}
	if err := running.host.CreateReplica(replication.InitialGroup{Shard: shard, Members: place.Genesis}); err != nil {
		eventCreateFailed.Log("shard", shard, "cause", err)
	}
}

// publishShard tells where a shard is, if this daemon leads it.
func (d *Daemon) publishShard(running *core, shard structs.ShardID) {
	status, held := running.host.Status(shard)
	if !held || !status.Serving {
		return
	}
	nodes := []structs.NodeID{running.node.ID}
	for _, member := range status.Members {
		if member.Node != running.node.ID {
			nodes = append(nodes, member.Node)
		}
	}
	value, err := json.Marshal(shardPlace{Nodes: nodes})
	if err != nil {
		return
	}
	version := status.Term<<termShift + status.MembershipIndex&(1<<termShift-1)
	d.directory.set(shard, nodes)
	d.cluster.Publish(cluster.Item{Key: shardKey(shard), Version: version, Value: value})
}

func domainObjectKey(domain structs.Domain) string {
	return fmt.Sprintf("groups/%d", domain.FirstShard)
}
