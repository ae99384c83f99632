package proof

import "time"

// action is one kind of step with its share of the schedule.
type action struct {
	share int
	fault bool
	run   func(c *cluster)
}

var calmActions = []action{
	{share: 800, run: func(c *cluster) { c.network.deliver() }},
	{share: 480, run: func(c *cluster) { anyOf(c, c.nodes).flush() }},
	{share: 100, run: func(c *cluster) { anyOf(c, c.nodes).tick() }},
	{share: 120, run: func(c *cluster) { anyOf(c, c.nodes).lead() }},
	{share: 120, run: func(c *cluster) { anyOf(c, c.callers).step() }},
	{share: 80, run: func(c *cluster) { anyOf(c, c.engines).step() }},
	{share: 16, run: func(c *cluster) { anyOf(c, c.nodes).sweepOrphans() }},
	{share: 16, run: func(c *cluster) { anyOf(c, c.nodes).reconcile() }},
	{share: 24, run: detect},
	{share: 8, run: func(c *cluster) { anyOf(c, c.nodes).compact() }},
}

var hostileActions = append([]action{
	{share: 8, fault: true, run: func(c *cluster) { c.network.lose() }},
	{share: 8, fault: true, run: func(c *cluster) { c.network.double() }},
	{share: 2, fault: true, run: isolate},
	{share: 6, fault: true, run: func(c *cluster) { clear(c.network.cut) }},
	{share: 4, fault: true, run: pause},
	{share: 2, fault: true, run: func(c *cluster) { anyOf(c, c.nodes).crash() }},
	{share: 1, fault: true, run: forget},
	{share: 1, fault: true, run: jump},
	{share: 1, fault: true, run: func(c *cluster) { anyOf(c, c.engines).restart() }},
	{share: 1, fault: true, run: vanish},
}, calmActions...)

// step runs one action and lets time pass.
func (c *cluster) step(actions []action) {
	c.report.Steps++
	c.now = c.now.Add(hostileStep)
	if c.calm {
		c.now = c.now.Add(calmStep)
	}
	total := 0
	for _, a := range actions {
		total += a.share
	}
	at := c.random.IntN(total)
	for _, a := range actions {
		if at < a.share {
			if a.fault {
				c.report.Faults++
			}
			a.run(c)
			return
		}
		at -= a.share
	}
}

// detect tells every node whom it cannot reach, as a failure detector would.
func detect(c *cluster) {
	for _, n := range c.nodes {
		if n.replica == nil || n.paused {
			continue
		}
		for _, other := range c.nodes {
			n.replica.SetSuspected(other.id, other.paused || c.network.isCut(other.name(), n.name()))
		}
		for _, member := range n.replica.Members() {
			if c.node(member.Node).id != member.ID().WithoutAdmission() {
				n.replica.SetSuspected(member.ID(), true)
			}
		}
		n.work()
	}
}

func isolate(c *cluster) {
	alone := anyOf(c, c.nodes)
	for _, other := range c.nodes {
		c.network.block(alone.name(), other.name())
	}
	if c.chance(2) {
		c.network.block(alone.name(), anyOf(c, c.engines).name)
	}
}

// pause freezes a node, or wakes all that are frozen.
func pause(c *cluster) {
	if c.chance(3) {
		anyOf(c, c.nodes).paused = true
		return
	}
	for _, n := range c.nodes {
		n.paused = false
	}
}

// forget takes a node's memory, where the group survives that.
func forget(c *cluster) {
	n := anyOf(c, c.nodes)
	if c.options.InjectedBug == ReuseIncarnation || c.survives(n) {
		n.forget()
	}
}

func jump(c *cluster) {
	offset := time.Duration(c.random.Int64N(int64(2*clockJump))) - clockJump
	anyOf(c, c.nodes).skew = offset
}

// vanish lets one caller in a while never come back.
func vanish(c *cluster) {
	if c.chance(10) {
		anyOf(c, c.callers).vanished = true
	}
}

// survives reports whether the group has all its members and agrees on them,
// so that it can do without one node's memory.
func (c *cluster) survives(lost *node) bool {
	newest := c.newest()
	if newest == nil {
		return false
	}
	_, _, _, commit, _ := newest.replica.BasicStatus()
	if newest.replica.MembershipIndex() > commit || len(newest.replica.Members()) < replicas {
		return false
	}
	for _, member := range newest.replica.Members() {
		holder := c.node(member.Node)
		if member.Learner || holder.replica == nil || holder.replica.Self() != member.ID() ||
			holder.replica.MembershipIndex() != newest.replica.MembershipIndex() {
			return false
		}
	}
	return lost.replica == nil || lost.replica.Self().WithoutAdmission() == lost.id
}

// newest is the node that knows the highest commit.
func (c *cluster) newest() *node {
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
