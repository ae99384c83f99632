package emulator

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Functions on lists of models. Lists are never changed in place, because load
// reports share them. In the list of what is loaded an entry is a model with
// all its adapters; in the list of what is being loaded an entry is a model
// alone or, when it names one, an adapter alone.

func hasModel(loaded []structs.LoadedModel, model structs.ModelName, version string) bool {
	return slices.ContainsFunc(loaded, func(entry structs.LoadedModel) bool {
		return entry.Model == model && entry.Version == version
	})
}

func anyVersion(loaded []structs.LoadedModel, model structs.ModelName) bool {
	return slices.ContainsFunc(loaded, func(entry structs.LoadedModel) bool { return entry.Model == model })
}

// has reports whether the model, or the adapter that wanted names, is loaded.
func has(loaded []structs.LoadedModel, wanted structs.LoadedModel) bool {
	return slices.ContainsFunc(loaded, func(entry structs.LoadedModel) bool {
		return entry.Model == wanted.Model && entry.Version == wanted.Version &&
			(len(wanted.Adapters) == 0 || slices.Contains(entry.Adapters, wanted.Adapters[0]))
	})
}

// isLoading reports whether exactly the entry is being loaded.
func isLoading(loading []structs.LoadedModel, wanted structs.LoadedModel) bool {
	return slices.ContainsFunc(loading, func(entry structs.LoadedModel) bool { return sameEntry(entry, wanted) })
}

func sameEntry(a, b structs.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// countModels counts the entries that stand for models.
func countModels(loading []structs.LoadedModel) int {
	count := 0
	for _, entry := range loading {
		if len(entry.Adapters) == 0 {
			count++
		}
	}
	return count
}

// add returns the loaded list with the model, or with the adapter at its model.
func add(loaded []structs.LoadedModel, wanted structs.LoadedModel) []structs.LoadedModel {
	made := slices.Clone(loaded)
	if len(wanted.Adapters) == 0 {
		return append(made, wanted)
	}
	for i, entry := range made {
		if entry.Model == wanted.Model && entry.Version == wanted.Version {
			made[i].Adapters = append(slices.Clone(entry.Adapters), wanted.Adapters...)
		}
	}
	return made
}

// unloaded returns the loaded list without the model, or without the adapter.
func unloaded(loaded []structs.LoadedModel, gone structs.LoadedModel) []structs.LoadedModel {
	made := make([]structs.LoadedModel, 0, len(loaded))
	for _, entry := range loaded {
		if entry.Model == gone.Model && entry.Version == gone.Version {
			if len(gone.Adapters) == 0 {
				continue
			}
			entry.Adapters = slices.DeleteFunc(slices.Clone(entry.Adapters), func(name string) bool {
				return name == gone.Adapters[0]
			})
		}
		made = append(made, entry)
	}
	return made
}

// notLoading returns the list of what is being loaded without the entry; a
// model takes its adapters with it.
func notLoading(loading []structs.LoadedModel, gone structs.LoadedModel) []structs.LoadedModel {
	return slices.DeleteFunc(slices.Clone(loading), func(entry structs.LoadedModel) bool {
		sameModel := entry.Model == gone.Model && entry.Version == gone.Version
		return sameEntry(entry, gone) || (sameModel && len(gone.Adapters) == 0)
	})
}
