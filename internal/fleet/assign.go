package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// groupSize bounds the engines that one reconciler orders. Groups of a zone
	// are rolled out side by side, each one engine at a time.
	groupSize = 64
	// replaceAfter is how long an engine without reports keeps its place, so
	// that a restart moves no model.
	replaceAfter = time.Minute
)

// group names a part of a zone's engines.
type group struct {
	zone  structs.ZoneName
	index int
	count int
}

// groupsOf divides a zone's engines by the hashes of their ids, so that an
// engine that comes or goes moves no other one, unless the count changes.
func groupsOf(zone structs.Zone) map[group][]structs.EngineEndpoint {
	count := max((len(zone.Engines)+groupSize-1)/groupSize, 1)
	groups := map[group][]structs.EngineEndpoint{}
	for _, engine := range zone.Engines {
		index := int(hashText(string(engine.ID)) % uint64(count))
		key := group{zone.Name, index, count}
		groups[key] = append(groups[key], engine)
	}
	return groups
}

// wantedModel is a declared model with the group's part of its replicas.
type wantedModel struct {
	structs.Model
	replicas int
}

// role returns the role that the model's engines take.
func (m wantedModel) role() structs.EngineRole {
	if m.Role == "" {
		return structs.RoleMixed
	}
	return m.Role
}

// replicasOf returns each group's part of so many replicas: in proportion to
// the groups' sizes, the rest going to the largest remainders. All daemons get
// the same result.
func replicasOf(replicas int, sizes []int) []int {
	total := 0
	for _, size := range sizes {
		total += size
	}
	parts := make([]int, len(sizes))
	if total == 0 {
		return parts
	}
	replicas = min(replicas, total)
	left := replicas
	order := make([]int, len(sizes))
	for i, size := range sizes {
		parts[i] = replicas * size / total
		left -= parts[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(replicas*sizes[b]%total, replicas*sizes[a]%total)
	})
	for _, i := range order[:left] {
		parts[i]++
	}
	return parts
}

// member is an engine of the group as the reconciler knows it.
type member struct {
	// status is the last report; its id and address are always set.
	status structs.EngineStatus
	// reachable is false while the engine gives no reports.
	reachable bool
	// drainingSince is when the reconciler began to drain it, or zero.
	drainingSince time.Time
	// quiet is set when a report made since then, late enough for all daemons
	// to know of the draining, shows no stream.
	quiet bool
	// heldBack is set while no draining is begun again after one ran out of time.
	heldBack bool
}

func (m *member) draining() bool { return !m.drainingSince.IsZero() }

// holds returns the loaded entry of a model.
func (m *member) holds(model structs.ModelName) (structs.LoadedModel, bool) {
	for _, entry := range m.status.Loaded {
		if entry.Model == model {
			return entry, true
		}
	}
	return structs.LoadedModel{}, false
}

// loads reports whether a model's version is being loaded.
func (m *member) loads(model structs.ModelName, version string) bool {
	for _, entry := range m.status.Loading {
		if entry.Model == model && entry.Version == version && len(entry.Adapters) == 0 {
			return true
		}
	}
	return false
}

// places reports whether the engine may be given a model.
func (m *member) places(now time.Time) bool {
	if m.status.Leaving {
		return false
	}
	return m.reachable || now.Sub(m.status.ReportedAt) < replaceAfter
}

// assignment is the model of each engine that is to hold one.
type assignment struct {
	models  map[structs.EngineID]wantedModel
	missing []int
}

// assign gives engines to models, so that as little as possible has to be done:
// first engines that have or load the declared version, then empty engines,
// before engines with another version, which can go on serving until a replica
// more is there, and last engines with other models.
func assign(now time.Time, models []wantedModel, members []*member) map[structs.EngineID]wantedModel {
	a := &assignment{models: map[structs.EngineID]wantedModel{}}
	for _, model := range models {
		a.missing = append(a.missing, model.replicas)
	}
	order := make([][]*member, len(models))
	for i, model := range models {
		order[i] = preferred(now, model, members)
		a.give(i, model, order[i], -1, func(m *member) bool { return affinity(m, model) >= affinityLoading })
	}
	// Models that lack replicas of any version need an empty engine most.
	for i, model := range models {
		older := 0
		for _, m := range order[i] {
			if affinity(m, model) == affinityOtherVersion {
				older++
			}
		}
		a.give(i, model, order[i], max(a.missing[i]-older, 0), (*member).empty)
	}
	for i, model := range models {
		a.give(i, model, order[i], -1, (*member).empty)
	}
	for i, model := range models {
		a.give(i, model, order[i], -1, func(m *member) bool { return affinity(m, model) == affinityOtherVersion })
	}
	for i, model := range models {
		a.give(i, model, order[i], -1, func(m *member) bool { return m.reachable })
	}
	return a.models
}

// give assigns matching engines to a model, as many as it lacks and, unless
// most is negative, at most so many.
func (a *assignment) give(index int, model wantedModel, order []*member, most int, match func(*member) bool) {
	for _, m := range order {
		if a.missing[index] == 0 || most == 0 {
			return
		}
		if _, taken := a.models[m.status.ID]; taken || !match(m) {
			continue
		}
		a.models[m.status.ID] = model
		a.missing[index]--
		most--
	}
}

// empty reports whether an engine that can be reached has no model.
func (m *member) empty() bool {
	return m.reachable && len(m.status.Loaded) == 0 && len(m.status.Loading) == 0
}

// preferred orders the engines that may have a model by how little has to be
// done for it, and then by a hash.
func preferred(now time.Time, model wantedModel, members []*member) []*member {
	var candidates []*member
	for _, m := range members {
		if m.places(now) {
			candidates = append(candidates, m)
		}
	}
	modelHash := hashText(string(model.Name))
	slices.SortFunc(candidates, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(affinity(b, model), affinity(a, model)),
			cmp.Compare(len(a.status.Loaded)+len(a.status.Loading), len(b.status.Loaded)+len(b.status.Loading)),
			cmp.Compare(mix(modelHash, hashText(string(b.status.ID))), mix(modelHash, hashText(string(a.status.ID)))),
			cmp.Compare(a.status.ID, b.status.ID),
		)
	})
	return candidates
}

// How much of a model an engine has.
const (
	affinityNone = iota
	affinityOtherVersion
	affinityLoading
	affinityOtherRole
	affinityReady
)

// affinity says how much of a model an engine has.
func affinity(m *member, model wantedModel) int {
	entry, held := m.holds(model.Name)
	switch {
	case held && entry.Version == model.Version && m.status.Role == model.role():
		return affinityReady
	case held && entry.Version == model.Version:
		return affinityOtherRole
	case m.loads(model.Name, model.Version):
		return affinityLoading
	case held:
		return affinityOtherVersion
	default:
		return affinityNone
	}
}
