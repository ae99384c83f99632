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

// loads reports whether a model is being loaded; with a version, that one.
func (m *member) loads(model structs.ModelName, version string) bool {
	for _, entry := range m.status.Loading {
		if entry.Model == model && len(entry.Adapters) == 0 && (version == "" || entry.Version == version) {
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

// assign gives engines to models: first those that have the model already,
// then engines without use. The result is the model of each engine that has one.
func assign(now time.Time, models []wantedModel, members []*member) map[structs.EngineID]wantedModel {
	assigned := map[structs.EngineID]wantedModel{}
	missing := make([]int, len(models))
	for i, model := range models {
		missing[i] = model.replicas
		for _, m := range preferred(now, model, members) {
			_, taken := assigned[m.status.ID]
			if missing[i] > 0 && !taken && affinity(m, model) > 0 {
				assigned[m.status.ID] = model
				missing[i]--
			}
		}
	}
	for i, model := range models {
		for _, m := range preferred(now, model, members) {
			_, taken := assigned[m.status.ID]
			if missing[i] > 0 && !taken && m.reachable {
				assigned[m.status.ID] = model
				missing[i]--
			}
		}
	}
	return assigned
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

// affinity says how much of a model an engine has; 0 is nothing.
func affinity(m *member, model wantedModel) int {
	const loading, otherVersion, thisVersion, ready = 1, 2, 3, 4
	entry, held := m.holds(model.Name)
	switch {
	case held && entry.Version == model.Version && m.status.Role == model.role():
		return ready
	case held && entry.Version == model.Version:
		return thisVersion
	case held:
		return otherVersion
	case m.loads(model.Name, ""):
		return loading
	default:
		return 0
	}
}
