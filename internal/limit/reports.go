package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * time.Millisecond

// Tick returns the reports that are due. A rate limit on reports keeps the bytes sent
// independent of the number of tenants: reports with the highest priority are sent
// first and the others wait for the next call.
func (l *RateLimiter) Tick(now time.Time) []Outgoing {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reportBucket.Refill(now, reportsPerSecond, reportBurst)
	outbox := newOutbox(l.self)
	for _, tenant := range l.tenantsToReport(now) {
		if !l.reportBucket.Take() {
			break
		}
		entry, exists := l.shares.Load(tenant)
		if !exists {
			continue
		}
		report := entry.(*share).nextReport(now)
		owner := l.owner(tenant)
		if owner == l.self.Node {
			// A report to this daemon itself sends no message and does not count
			// against the rate limit.
			l.reportBucket.Tokens++
			l.handleReport(now, l.self, report, outbox)
			continue
		}
		outbox.messageTo(owner).Reports = append(outbox.messageTo(owner).Reports, report)
	}
	for _, owner := range l.owned {
		owner.removeExpired(now)
	}
	return outbox.sorted()
}

// tenantPriority is the priority with which a tenant's demand is reported to its owner.
type tenantPriority struct {
	tenant   structs.TenantID
	priority float64
}

// tenantsToReport lists the tenants with a report due, in descending order of priority.
// It removes tenants that have become idle from the active shares.
func (l *RateLimiter) tenantsToReport(now time.Time) []structs.TenantID {
	var due []tenantPriority
	for _, share := range l.active.list() {
		priority, idle := share.reportPriority(now)
		if priority > 0 {
			due = append(due, tenantPriority{tenant: share.tenant, priority: priority})
		} else if idle {
			l.active.remove(share)
		}
	}
	slices.SortFunc(due, func(a, b tenantPriority) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.tenant, b.tenant))
	})
	tenants := make([]structs.TenantID, len(due))
	for i := range due {
		tenants[i] = due[i].tenant
	}
	return tenants
}

// Receive processes a message and returns the replies.
func (l *RateLimiter) Receive(now time.Time, message Message) []Outgoing {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	outbox := newOutbox(l.self)
	for _, report := range message.Reports {
		l.handleReport(now, message.From, report, outbox)
	}
	for _, grant := range message.Grants {
		l.applyGrant(now, grant)
	}
	return outbox.sorted()
}

// handleReport answers a report if this daemon is the tenant's owner. Otherwise the
// sender's membership view differs from ours, and the report is dropped; the sender's
// next report retries it.
func (l *RateLimiter) handleReport(now time.Time, from Holder, report Report, outbox *outbox) {
	if _, limited := l.parameters.Load().rates[report.Tenant]; !limited || l.owner(report.Tenant) != l.self.Node {
		return
	}
	owner := l.owned[report.Tenant]
	if owner == nil {
		owner = &tenantOwner{holders: map[Holder]*holderState{}}
		l.owned[report.Tenant] = owner
	}
	holder, isNew := owner.recordReport(now, from, report)
	if !isNew {
		return
	}
	capacity := l.allocatableRate(report.Tenant)
	grant, issued := owner.issueGrant(now, report.Tenant, from, capacity)
	if !issued {
		return
	}
	l.sendGrant(now, from, grant, outbox)
	if grant.Rate >= holder.demand {
		return
	}
	for _, reduction := range owner.reduceOthers(now, report.Tenant, capacity) {
		l.sendGrant(now, reduction.holder, reduction.grant, outbox)
	}
}

// sendGrant adds a grant to the outbox, or applies it directly if it is for this
// daemon.
func (l *RateLimiter) sendGrant(now time.Time, to Holder, grant Grant, outbox *outbox) {
	if to == l.self {
		l.applyGrant(now, grant)
		return
	}
	message := outbox.messageTo(to.Node)
	message.Grants = append(message.Grants, grant)
}

// applyGrant puts a grant into effect. A grant for an earlier incarnation of this
// daemon is ignored.
func (l *RateLimiter) applyGrant(now time.Time, grant Grant) {
	if grant.Incarnation != l.self.Incarnation {
		return
	}
	if entry, found := l.shares.Load(grant.Tenant); found {
		entry.(*share).apply(now, grant)
	}
}

// outbox collects the reports and grants for each daemon into one message.
type outbox struct {
	from     Holder
	messages map[structs.NodeID]*Message
}

func newOutbox(from Holder) *outbox {
	return &outbox{from: from, messages: map[structs.NodeID]*Message{}}
}

func (o *outbox) messageTo(node structs.NodeID) *Message {
	message := o.messages[node]
	if message == nil {
		message = &Message{From: o.from}
		o.messages[node] = message
	}
	return message
}

// sorted returns the messages in order of their receivers.
func (o *outbox) sorted() []Outgoing {
	outgoing := make([]Outgoing, 0, len(o.messages))
	for node, message := range o.messages {
		outgoing = append(outgoing, Outgoing{To: node, Message: *message})
	}
	slices.SortFunc(outgoing, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return outgoing
}
