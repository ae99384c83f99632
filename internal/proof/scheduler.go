package proof

import "time"

// action is a kind of step. weight is its relative frequency.
type action struct {
	weight  int
	isFault bool
	run     func(c *cluster)
}

var faultFreeActions = []action{
	{weight: 800, run: func(c *cluster) { c.network.deliver() }},
	{weight: 480, run: func(c *cluster) { randomElement(c, c.nodes).storeOldestWrite() }},
	{weight: 100, run: func(c *cluster) { randomElement(c, c.nodes).tick() }},
	{weight: 120, run: func(c *cluster) { randomElement(c, c.nodes).runLeaderTurn() }},
	{weight: 120, run: func(c *cluster) { randomElement(c, c.callers).sendNextRequest() }},
	{weight: 80, run: func(c *cluster) { randomElement(c, c.engines).finishOneStream() }},
	{weight: 16, run: func(c *cluster) { randomElement(c, c.nodes).releaseOrphans() }},
	{weight: 16, run: func(c *cluster) { randomElement(c, c.nodes).reconcileMembers() }},
	{weight: 24, run: updateSuspicions},
	{weight: 8, run: func(c *cluster) { randomElement(c, c.nodes).compactLog() }},
}

var allActions = append([]action{
	{weight: 8, isFault: true, run: func(c *cluster) { c.network.dropMessage() }},
	{weight: 8, isFault: true, run: func(c *cluster) { c.network.duplicateMessage() }},
	{weight: 2, isFault: true, run: isolateNode},
	{weight: 6, isFault: true, run: func(c *cluster) { clear(c.network.partitioned) }},
	{weight: 4, isFault: true, run: pauseOrResumeNodes},
	{weight: 2, isFault: true, run: func(c *cluster) { randomElement(c, c.nodes).restartAfterCrash() }},
	{weight: 1, isFault: true, run: loseNodeState},
	{weight: 1, isFault: true, run: skewClock},
	{weight: 1, isFault: true, run: func(c *cluster) { randomElement(c, c.engines).restart() }},
	{weight: 1, isFault: true, run: disconnectCaller},
}, faultFreeActions...)

// step runs one random action and advances the time.
func (c *cluster) step(actions []action) {
	c.report.Steps++
	c.now = c.now.Add(faultStepDuration)
	if c.faultFree {
		c.now = c.now.Add(faultFreeStepDuration)
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	position := c.random.IntN(total)
	for _, a := range actions {
		if position < a.weight {
			if a.isFault {
				c.report.Faults++
			}
			a.run(c)
			return
		}
		position -= a.weight
	}
}

// updateSuspicions reports unreachable nodes to every replica, as a failure detector
// would.
func updateSuspicions(c *cluster) {
	for _, n := range c.nodes {
		if n.replica == nil || n.paused {
			continue
		}
		for _, other := range c.nodes {
			n.replica.SetSuspected(other.id, other.paused || c.network.isPartitioned(other.name(), n.name()))
		}
		for _, member := range n.replica.Members() {
			if c.node(member.Node).id != member.ID().WithoutAdmission() {
				n.replica.SetSuspected(member.ID(), true)
			}
		}
		n.processReady()
	}
}

func isolateNode(c *cluster) {
	isolated := randomElement(c, c.nodes)
	for _, other := range c.nodes {
		c.network.partition(isolated.name(), other.name())
	}
	if c.oneIn(2) {
		c.network.partition(isolated.name(), randomElement(c, c.engines).name)
	}
}

// pauseOrResumeNodes pauses a node or resumes all paused nodes.
func pauseOrResumeNodes(c *cluster) {
	if c.oneIn(3) {
		randomElement(c, c.nodes).paused = true
		return
	}
	for _, n := range c.nodes {
		n.paused = false
	}
}

// loseNodeState deletes the state of a node if the group can tolerate the loss.
func loseNodeState(c *cluster) {
	n := randomElement(c, c.nodes)
	if c.options.InjectedBug == ReuseIncarnation || c.canLoseState(n) {
		n.loseState()
	}
}

func skewClock(c *cluster) {
	offset := time.Duration(c.random.Int64N(int64(2*maxClockSkew))) - maxClockSkew
	randomElement(c, c.nodes).clockSkew = offset
}

// disconnectCaller permanently disconnects a caller with a chance of one in ten.
func disconnectCaller(c *cluster) {
	if c.oneIn(10) {
		randomElement(c, c.callers).disconnected = true
	}
}

// canLoseState reports whether the group has all its members and they agree on the
// membership. The group can then tolerate that one node loses its state.
func (c *cluster) canLoseState(candidate *node) bool {
	mostAdvanced := c.mostAdvancedNode()
	if mostAdvanced == nil {
		return false
	}
	_, _, _, commit, _ := mostAdvanced.replica.BasicStatus()
	if mostAdvanced.replica.MembershipIndex() > commit || len(mostAdvanced.replica.Members()) < replicaCount {
		return false
	}
	for _, member := range mostAdvanced.replica.Members() {
		holder := c.node(member.Node)
		if member.Learner || holder.replica == nil || holder.replica.Self() != member.ID() ||
			holder.replica.MembershipIndex() != mostAdvanced.replica.MembershipIndex() {
			return false
		}
	}
	return candidate.replica == nil || candidate.replica.Self().WithoutAdmission() == candidate.id
}

// mostAdvancedNode returns the node with the highest commit index.
func (c *cluster) mostAdvancedNode() *node {
	var best *node
	highest := uint64(0)
	for _, n := range c.nodes {
		if n.replica == nil {
			continue
		}
		if _, _, _, commit, _ := n.replica.BasicStatus(); best == nil || commit > highest {
			best, highest = n, commit
		}
	}
	return best
}
