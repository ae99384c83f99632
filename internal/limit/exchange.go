package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// TickInterval is how often Tick is to be called.
const TickInterval = 100 * time.Millisecond

// Tick returns the reports that are due. Within the daemon's budget of reports
// the most urgent go first, so that the bytes sent do not grow with the number
// of tenants; the others wait for the next call.
func (s *RateLimiter) Tick(now time.Time) []Outgoing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reports.Refill(now, reportsPerSecond, reportBurst)
	outbox := newOutbox(s.self)
	for _, tenant := range s.mostUrgent(now) {
		if !s.reports.Take() {
			break
		}
		held, found := s.byID.Load(tenant)
		if !found {
			continue
		}
		report := held.(*share).report(now)
		home := s.home(tenant)
		if home == s.self.Node {
			// A report to itself costs no message and no budget.
			s.reports.Tokens++
			s.takeReport(now, s.self, report, outbox)
			continue
		}
		outbox.to(home).Reports = append(outbox.to(home).Reports, report)
	}
	for _, home := range s.homes {
		home.forget(now)
	}
	return outbox.list()
}

// urgency is how much a tenant's home must be told.
type urgency struct {
	tenant structs.TenantID
	value  float64
}

// mostUrgent lists the tenants whose homes are to be told, the most urgent
// first. Tenants that were idle for long leave the list of active ones.
func (s *RateLimiter) mostUrgent(now time.Time) []structs.TenantID {
	var found []urgency
	for _, held := range s.active.list() {
		value, idle := held.due(now)
		if value > 0 {
			found = append(found, urgency{tenant: held.tenant, value: value})
		} else if idle {
			s.active.remove(held)
		}
	}
	slices.SortFunc(found, func(a, b urgency) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.tenant, b.tenant))
	})
	tenants := make([]structs.TenantID, len(found))
	for i := range found {
		tenants[i] = found[i].tenant
	}
	return tenants
}

// Receive takes a message in and returns the answers.
func (s *RateLimiter) Receive(now time.Time, message Message) []Outgoing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outbox := newOutbox(s.self)
	for _, report := range message.Reports {
		s.takeReport(now, message.From, report, outbox)
	}
	for _, grant := range message.Grants {
		s.takeGrant(now, grant)
	}
	return outbox.list()
}

// takeReport answers a report, where this daemon is the tenant's home. Another
// daemon's view may lag; its report then waits for the next one.
func (s *RateLimiter) takeReport(now time.Time, from Holder, report Report, outbox *outbox) {
	if _, bounded := s.terms.Load().rates[report.Tenant]; !bounded || s.home(report.Tenant) != s.self.Node {
		return
	}
	home := s.homes[report.Tenant]
	if home == nil {
		home = &tenantHome{holders: map[Holder]*holding{}}
		s.homes[report.Tenant] = home
	}
	holding, newer := home.take(now, from, report)
	if !newer {
		return
	}
	capacity := s.capacity(report.Tenant)
	grant, given := home.grant(now, report.Tenant, from, capacity)
	if !given {
		return
	}
	s.send(now, from, grant, outbox)
	if grant.Rate >= holding.demand {
		return
	}
	for _, recall := range home.recalls(now, report.Tenant, capacity) {
		s.send(now, recall.holder, recall.grant, outbox)
	}
}

// send puts a grant into the outbox, or takes it where it is this daemon's own.
func (s *RateLimiter) send(now time.Time, to Holder, grant Grant, outbox *outbox) {
	if to == s.self {
		s.takeGrant(now, grant)
		return
	}
	message := outbox.to(to.Node)
	message.Grants = append(message.Grants, grant)
}

// takeGrant takes a grant into use. One for a former life of this daemon is void.
func (s *RateLimiter) takeGrant(now time.Time, grant Grant) {
	if grant.Incarnation != s.self.Incarnation {
		return
	}
	if held, found := s.byID.Load(grant.Tenant); found {
		held.(*share).take(now, grant)
	}
}

// outbox gathers what goes to each daemon into one message.
type outbox struct {
	from     Holder
	messages map[structs.NodeID]*Message
}

func newOutbox(from Holder) *outbox {
	return &outbox{from: from, messages: map[structs.NodeID]*Message{}}
}

func (o *outbox) to(node structs.NodeID) *Message {
	message := o.messages[node]
	if message == nil {
		message = &Message{From: o.from}
		o.messages[node] = message
	}
	return message
}

// list returns the messages by their receivers.
func (o *outbox) list() []Outgoing {
	outgoing := make([]Outgoing, 0, len(o.messages))
	for node, message := range o.messages {
		outgoing = append(outgoing, Outgoing{To: node, Message: *message})
	}
	slices.SortFunc(outgoing, func(a, b Outgoing) int { return cmp.Compare(a.To, b.To) })
	return outgoing
}
