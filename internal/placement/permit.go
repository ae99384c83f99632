// Package placement decides where regulated data may rest and which daemons
// hold a shard. It is pure: the same arguments give the same answer on every
// daemon.
package placement

import (
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// DataKind is a kind of data that rests or arrives somewhere.
type DataKind string

// The kinds of data.
const (
	// History is a journal copy: a replica's memory, its disk, a snapshot.
	History DataKind = "history"
	// Cache is an engine's prefix cache, with the prompt that fills it.
	Cache DataKind = "cache"
	// KVExport is cache on its way into another engine.
	KVExport DataKind = "kv_export"
	// ToolArguments are what a tool service receives.
	ToolArguments DataKind = "tool_arguments"
	// LogText is a log line that shows a program's text.
	LogText DataKind = "log_text"
)

// Policy is where one program's data may rest.
type Policy struct {
	HistoryZones []structs.ZoneName
	CacheZones   []structs.ZoneName
}

// Check is the one decision on residency: whether the data may rest in the
// zone. It returns nil or a *failure.NoPermittedPlace. A policy without zones
// permits nothing.
//
// A tool may stand wherever the program's history or its cache may rest: both
// hold the text of the arguments.
func Check(policy Policy, data DataKind, zone structs.ZoneName) error {
	permitted := policy.zones(data)
	if slices.Contains(permitted, zone) {
		return nil
	}
	return &failure.NoPermittedPlace{What: string(data), Zones: joinZones(permitted)}
}

// zones returns where the data may rest; nowhere, for data of no known kind.
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

// sortedZones returns the zones of all lists, sorted, each once.
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
