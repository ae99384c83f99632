package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// maxGroupLoads bounds the models that a group's engines load at once.
const maxGroupLoads = 2

// Priorities of loads at the weight store; lower goes first.
const (
	priorityNoReplica  = 0
	priorityFewReplica = 1
	priorityAdapter    = 2
)

// actionKind says what the reconciler does to an engine.
type actionKind string

const (
	// actionRaise makes the engine see the fence token, without other effect.
	actionRaise actionKind = "raise"
	// actionDrain tells the daemons to send no more work; actionReturn ends that.
	actionDrain  actionKind = "drain"
	actionReturn actionKind = "return"
	// actionOrder sends an order.
	actionOrder actionKind = "order"
)

// action is one step for one engine.
type action struct {
	kind   actionKind
	engine structs.EngineID
	order  engine.Order
}

// situation is what a group's plan is made from.
type situation struct {
	now     time.Time
	token   uint64
	models  []wantedModel
	members []*member
	// drainTimeout bounds a draining.
	drainTimeout time.Duration
	// loadsHeldBack keeps roll-outs and further replicas waiting while the weight
	// store has too much to do; models without a replica are loaded anyway.
	loadsHeldBack bool
}

// superseded reports whether an engine has seen a higher token than ours.
func (s *situation) superseded() bool {
	return slices.ContainsFunc(s.members, func(m *member) bool { return m.reachable && m.status.Fence > s.token })
}

// differs reports whether anything is not as declared, so that a token is needed.
func (s *situation) differs() bool {
	assigned := assign(s.now, s.models, s.members)
	return slices.ContainsFunc(s.members, func(m *member) bool {
		return m.reachable && !m.status.Leaving && (m.draining() || len(s.wanting(m, assigned)) > 0)
	})
}

// plan returns the next actions. It holds these invariants:
//   - an engine gets no order before it has seen the token, and none that ends
//     streams before every reachable engine of the group has, so that a former
//     holder of the fence can do nothing any more;
//   - an engine is drained, and quiet, before an order that ends streams;
//   - a draining begins only while no other engine drains and every model that
//     the engine serves has all its declared replicas serving.
func (s *situation) plan() []action {
	if s.superseded() {
		return nil
	}
	assigned := assign(s.now, s.models, s.members)
	var actions []action
	fenced := true
	for _, m := range s.members {
		if m.reachable && m.status.Fence < s.token {
			fenced = false
			actions = append(actions, s.raise(m))
		}
	}
	drains := slices.ContainsFunc(s.members, (*member).draining)
	loads := s.loads()
	for _, m := range s.members {
		if !m.reachable || m.status.Leaving || m.status.Fence != s.token {
			continue
		}
		next, found := s.next(m, assigned, fenced, drains, loads)
		if !found {
			continue
		}
		drains = drains || next.kind == actionDrain
		if next.order.Kind == engine.OrderLoad && next.order.Adapter == "" {
			loads++
		}
		actions = append(actions, next)
	}
	return actions
}

// loads counts the models that the group's engines load now.
func (s *situation) loads() int {
	count := 0
	for _, m := range s.members {
		for _, entry := range m.status.Loading {
			if len(entry.Adapters) == 0 {
				count++
			}
		}
	}
	return count
}

// next returns the next action for an engine that has seen the token.
func (s *situation) next(m *member, assigned map[structs.EngineID]wantedModel, fenced, drains bool, loads int) (action, bool) {
	wanting := s.wanting(m, assigned)
	disruptive := len(wanting) > 0 && endsStreams(m, wanting[0])
	if m.draining() {
		return s.nextOfDraining(m, wanting, disruptive, fenced)
	}
	if len(wanting) == 0 {
		return action{}, false
	}
	if disruptive {
		may := fenced && !drains && !m.heldBack && s.spares(m, assigned)
		return action{kind: actionDrain, engine: m.status.ID}, may
	}
	return s.nextLoad(m, wanting[0], loads)
}

// nextOfDraining ends a draining that has done its work, ran out of time, or
// takes an engine away that is needed since another one was lost; else it sends
// the order that the draining is for.
func (s *situation) nextOfDraining(m *member, wanting []engine.Order, disruptive, fenced bool) (action, bool) {
	late := !m.quiet && s.now.Sub(m.drainingSince) > s.drainTimeout
	if !disruptive || late || s.needs(m) {
		return action{kind: actionReturn, engine: m.status.ID}, true
	}
	if !m.quiet || !fenced {
		return action{}, false
	}
	return action{kind: actionOrder, engine: m.status.ID, order: wanting[0]}, true
}

// nextLoad sends a load when the group may begin one.
func (s *situation) nextLoad(m *member, order engine.Order, loads int) (action, bool) {
	if order.Kind == engine.OrderLoad && order.Adapter == "" {
		if loads >= maxGroupLoads || (s.loadsHeldBack && order.Priority != priorityNoReplica) {
			return action{}, false
		}
	}
	return action{kind: actionOrder, engine: m.status.ID, order: order}, true
}

// endsStreams reports whether an order takes away what streams may be using.
func endsStreams(m *member, order engine.Order) bool {
	return order.Kind != engine.OrderLoad && len(m.status.Loaded) > 0
}

// wanting returns the orders that make an engine what it is to be: first those
// that take away, then the role, then the loads.
func (s *situation) wanting(m *member, assigned map[structs.EngineID]wantedModel) []engine.Order {
	target, used := assigned[m.status.ID]
	var orders []engine.Order
	add := func(order engine.Order) {
		order.Fence, order.Incarnation, order.IfIdle = s.token, m.status.Incarnation, true
		orders = append(orders, order)
	}
	for _, entry := range append(slices.Clone(m.status.Loaded), modelsOnly(m.status.Loading)...) {
		if !used || entry.Model != target.Name || entry.Version != target.Version {
			add(engine.Order{Kind: engine.OrderUnload, Model: entry.Model, Version: entry.Version})
			continue
		}
		for _, adapter := range entry.Adapters {
			if !slices.Contains(target.Adapters, adapter) {
				add(engine.Order{Kind: engine.OrderUnload, Model: entry.Model, Version: entry.Version, Adapter: adapter})
			}
		}
	}
	if !used {
		return orders
	}
	if m.status.Role != target.role() {
		add(engine.Order{Kind: engine.OrderRole, Role: target.role()})
	}
	for _, order := range s.loadOrders(m, target) {
		add(order)
	}
	return orders
}

func modelsOnly(entries []structs.LoadedModel) []structs.LoadedModel {
	var models []structs.LoadedModel
	for _, entry := range entries {
		if len(entry.Adapters) == 0 {
			models = append(models, entry)
		}
	}
	return models
}

// loadOrders returns the loads of the model, or, once it is there, of adapters.
func (s *situation) loadOrders(m *member, target wantedModel) []engine.Order {
	order := engine.Order{
		Kind:         engine.OrderLoad,
		Model:        target.Name,
		Version:      target.Version,
		WeightsBytes: target.WeightsBytes,
		Priority:     priorityFewReplica,
	}
	entry, held := m.holds(target.Name)
	if !held || entry.Version != target.Version {
		if m.loads(target.Name, target.Version) {
			return nil
		}
		if s.serving(target) == 0 {
			order.Priority = priorityNoReplica
		}
		return []engine.Order{order}
	}
	order.Priority = priorityAdapter
	var orders []engine.Order
	for _, adapter := range target.Adapters {
		loading := structs.LoadedModel{Model: target.Name, Version: target.Version, Adapters: []string{adapter}}
		if !slices.Contains(entry.Adapters, adapter) && !containsEntry(m.status.Loading, loading) {
			order.Adapter = adapter
			orders = append(orders, order)
		}
	}
	return orders
}

func containsEntry(entries []structs.LoadedModel, wanted structs.LoadedModel) bool {
	return slices.ContainsFunc(entries, func(entry structs.LoadedModel) bool {
		return entry.Model == wanted.Model && entry.Version == wanted.Version && slices.Equal(entry.Adapters, wanted.Adapters)
	})
}

// raise is an order to take the role that the engine has.
func (s *situation) raise(m *member) action {
	return action{kind: actionRaise, engine: m.status.ID, order: engine.Order{
		Fence:       s.token,
		Incarnation: m.status.Incarnation,
		Kind:        engine.OrderRole,
		Role:        m.status.Role,
		IfIdle:      true,
	}}
}

// sortMembers orders members by their ids, so that a plan is repeatable.
func sortMembers(members []*member) {
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.status.ID, b.status.ID) })
}
