// Package placement decides in which zones regulated data may be stored and which
// daemons replicate a shard. Its functions are pure: the same arguments give the same
// result on every daemon.
package placement

import (
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// DataKind is a kind of data that is stored in or sent to a zone.
type DataKind string

// The kinds of data.
const (
	// History is a copy of the journal: in a replica's memory, on its disk, or in a
	// snapshot.
	History DataKind = "history"
	// Cache is an engine's prefix cache and the prompt that fills it.
	Cache DataKind = "cache"
	// KVExport is KV cache in transfer to another engine.
	KVExport DataKind = "kv_export"
	// ToolArguments are the arguments that a tool service receives.
	ToolArguments DataKind = "tool_arguments"
	// LogText is a log line that contains a program's text.
	LogText DataKind = "log_text"
)

// Policy is the list of zones in which a program's data may be stored.
type Policy struct {
	HistoryZones []structs.ZoneName
	CacheZones   []structs.ZoneName
}

// Check returns nil if the data may be stored in the zone, and a
// *failure.NoPermittedPlace otherwise. A policy without zones permits nothing. All data
// residency decisions by zone use this function.
//
// A tool may run in any zone in which the program's history or cache may be stored,
// because both contain the text of the arguments.
func Check(policy Policy, data DataKind, zone structs.ZoneName) error {
	permitted := policy.zones(data)
	if slices.Contains(permitted, zone) {
		return nil
	}
	return &failure.NoPermittedPlace{What: string(data), Zones: joinZones(permitted)}
}

// zones returns the zones in which the data may be stored; none for an unknown kind.
func (p Policy) zones(data DataKind) []structs.ZoneName {
	switch data {
	case History, LogText:
		return p.HistoryZones
	case Cache, KVExport:
		return p.CacheZones
	case ToolArguments:
		return sortedZones(p.HistoryZones, p.CacheZones)
	default:
		return nil
	}
}

// sortedZones returns the zones of all lists, sorted and without duplicates.
func sortedZones(lists ...[]structs.ZoneName) []structs.ZoneName {
	zones := slices.Concat(lists...)
	slices.Sort(zones)
	return slices.Compact(zones)
}

func joinZones(zones []structs.ZoneName) string {
	names := make([]string, len(zones))
	for i, zone := range zones {
		names[i] = string(zone)
	}
	return strings.Join(names, ",")
}
