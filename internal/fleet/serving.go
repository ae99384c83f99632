package fleet

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// spares reports whether every declared model that the engine serves has all
// its replicas serving, so that one may go: as many as declared, and each engine
// that the model is assigned to.
func (s *situation) spares(m *member, assigned map[structs.EngineID]wantedModel) bool {
	for _, model := range s.models {
		if !m.servesModel(model) {
			continue
		}
		if s.serving(model) < min(model.replicas, len(s.members)) || !s.allServe(model, assigned) {
			return false
		}
	}
	return true
}

// allServe reports whether each engine that a model is assigned to serves it.
func (s *situation) allServe(model wantedModel, assigned map[structs.EngineID]wantedModel) bool {
	for _, m := range s.members {
		if assigned[m.status.ID].Name == model.Name && !m.servesModel(model) {
			return false
		}
	}
	return true
}

// needs reports whether a model that a drained engine holds lacks more replicas
// than the drained one.
func (s *situation) needs(m *member) bool {
	return slices.ContainsFunc(s.models, func(model wantedModel) bool {
		_, held := m.holds(model.Name)
		return held && s.serving(model) < min(model.replicas, len(s.members))-1
	})
}

// servesModel reports whether the engine gives answers of a model, of any version.
func (m *member) servesModel(model wantedModel) bool {
	_, held := m.holds(model.Name)
	return held && m.reachable && !m.status.Leaving && !m.draining()
}

// serving counts the engines that serve a model.
func (s *situation) serving(model wantedModel) int {
	count := 0
	for _, m := range s.members {
		if m.servesModel(model) {
			count++
		}
	}
	return count
}
