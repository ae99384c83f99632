package replica

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// report returns what this replica reports of itself and of the other members of a partition's group.
func (r *Replica) report(partition uint32) *replicav1.ReplicaReport {
	report := &replicav1.ReplicaReport{
		RunningMs: uint64(time.Since(r.startedAt).Milliseconds()), UnwrittenBytes: uint64(r.state.log.UnwrittenBytes()),
		DiskUnavailable: r.state.diskUnavailable(), Copy: r.copyReports.latest(partition),
	}
	group := r.directory.Group(partition)
	if group == nil {
		return report
	}
	for _, member := range announcingMembers(group) {
		if member.Node != r.options.Node {
			report.Peers = append(report.Peers, r.peers.report(member.Node, partition))
		}
	}
	return report
}

// report returns what is known of a node.
func (d *failureDetector) report(node string, partition uint32) *replicav1.PeerReport {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	report := &replicav1.PeerReport{Node: node}
	status := d.nodes[node]
	report.DiskUnavailable = status.diskUnavailable
	if status.lastContact.IsZero() {
		return report
	}
	report.ContactAgeMs = proto.Uint64(uint64(d.now().Sub(status.lastContact).Milliseconds()))
	if standing := status.standings[partition].standing; standing != nil {
		report.Epoch, report.Incarnation, report.Recovered = standing.Epoch, standing.Incarnation, standing.Recovered
	}
	return report
}

// copyReports holds the last insufficient attempt to copy the records of each seat of this node. It is
// safe for concurrent use.
type copyReports struct {
	mutex       sync.Mutex
	byPartition map[uint32]*replicav1.CopyReport
}

func newCopyReports() *copyReports {
	return &copyReports{byPartition: make(map[uint32]*replicav1.CopyReport)}
}

// latest returns the last insufficient attempt of a partition, or nil. The result must not be modified.
func (c *copyReports) latest(partition uint32) *replicav1.CopyReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.byPartition[partition]
}

// set records an insufficient attempt.
func (c *copyReports) set(partition uint32, attempt *replicav1.CopyReport) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.byPartition[partition] = attempt
}

// clear records that no copy is pending.
func (c *copyReports) clear(partition uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.byPartition, partition)
}

// reportInsufficientAttempt returns the report of an attempt whose sources are not sufficient. A
// completely copied source may still not count, because of its epoch or because it contradicts
// another one.
func reportInsufficientAttempt(group *replicav1.Group, results []pullResult, attempts int) *replicav1.CopyReport {
	needed, _ := sourcesNeeded(group)
	report := &replicav1.CopyReport{Epoch: group.Epoch, Attempts: uint32(attempts), Needed: uint32(needed)}
	standings := make(map[uint32]*replicav1.Standing)
	for _, result := range results {
		if result.standing != nil {
			standings[result.standing.Seat] = result.standing
		}
	}
	slices.SortFunc(results, func(a, b pullResult) int { return strings.Compare(a.source, b.source) })
	for _, result := range results {
		problem := result.problem
		if member := memberForNode(group, result.source); member != nil && problem == "" {
			problem = quorum.RejectReason(group, member, standings)
		}
		report.Sources = append(report.Sources, &replicav1.CopySourceReport{Node: result.source, Problem: problem})
	}
	return report
}
