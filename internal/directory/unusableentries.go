package directory

import (
	"fmt"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

var metricUnusable = telemetry.Define(telemetry.Definition{
	Name: "directory_unusable_entries", Kind: telemetry.KindGauge, Unit: "entries", Labels: []string{"reason"},
	Help: "Entries of the platform's store that name nothing to use, as this process read them last.",
})

var (
	eventEntryUnusable  = event.Define(2607, event.Warning, "an entry of the platform's store is unusable and is ignored", "Find out which component writes the entry. Other entries are not affected.")
	eventEntryRecovered = event.Define(2608, event.Info, "an unusable entry of the platform's store was corrected or removed", "")
)

// UnusableEntry describes an entry of the platform's store that has a missing or invalid field.
// Other components write entries too, so entries are validated like any input, and an unusable one
// affects no other entry.
type UnusableEntry struct {
	// Name is the name of the entry, or "" if that is unreadable too.
	Name string
	// Field is the missing or invalid field and Reason says what is wrong with it.
	Field  string
	Reason UnusableReason
}

func (u *UnusableEntry) Error() string {
	return fmt.Sprintf("entry %q names nothing to use: field %q is %s", u.Name, u.Field, u.Reason)
}

// Type returns "entry_unusable".
func (u *UnusableEntry) Type() failure.Type { return "entry_unusable" }

// Outcome returns NotRun.
func (u *UnusableEntry) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry: the writer may correct the entry.
func (u *UnusableEntry) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// UnusableReason says what is wrong with a field of an unusable entry.
type UnusableReason string

// The reasons.
const (
	FieldMissing    UnusableReason = "missing"
	FieldUnreadable UnusableReason = "unreadable"
	FieldOutOfRange UnusableReason = "out of range"
	FieldUnknown    UnusableReason = "unknown value"
)

// unusableEntries tracks the unusable entries, so that each one is logged once and not with every
// heartbeat of its writer.
type unusableEntries struct {
	mutex   sync.Mutex
	entries map[Kind]map[string]UnusableEntry
	// gauge is nil until registerMetrics is called.
	gauge *prometheus.GaugeVec
}

func newUnusableEntries() *unusableEntries {
	return &unusableEntries{entries: make(map[Kind]map[string]UnusableEntry)}
}

// registerMetrics registers the gauge of unusable entries by reason.
func (u *unusableEntries) registerMetrics(registry *telemetry.Registry) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.gauge = registry.Gauge(metricUnusable)
	u.updateGauge()
}

// updateGauge updates the gauge. The mutex must be held.
func (u *unusableEntries) updateGauge() {
	if u.gauge == nil {
		return
	}
	counts := u.count()
	for _, reason := range []UnusableReason{FieldMissing, FieldUnreadable, FieldOutOfRange, FieldUnknown} {
		u.gauge.WithLabelValues(string(reason)).Set(float64(counts[reason]))
	}
}

// applyListing replaces the unusable entries of a kind.
func (u *unusableEntries) applyListing(kind Kind, listing Listing) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	defer u.updateGauge()
	previous := u.entries[kind]
	u.entries[kind] = make(map[string]UnusableEntry, len(listing.Unusable))
	for _, entry := range listing.Unusable {
		u.record(kind, entry, previous)
	}
	for name := range previous {
		if _, still := u.entries[kind][name]; !still {
			eventEntryRecovered.Log("kind", kind.String(), "entry", name)
		}
	}
}

// applyChanges applies a watch's changes of a kind.
func (u *unusableEntries) applyChanges(kind Kind, changes []Change) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	defer u.updateGauge()
	for _, change := range changes {
		byName := u.entries[kind]
		if change.Unusable != nil {
			if byName == nil {
				byName = make(map[string]UnusableEntry)
				u.entries[kind] = byName
			}
			u.record(kind, *change.Unusable, byName)
			continue
		}
		if _, found := byName[change.Object.Name]; found {
			delete(byName, change.Object.Name)
			eventEntryRecovered.Log("kind", kind.String(), "entry", change.Object.Name)
		}
	}
}

// record stores an unusable entry and logs it unless the same entry was logged before. The mutex
// must be held.
func (u *unusableEntries) record(kind Kind, entry UnusableEntry, previous map[string]UnusableEntry) {
	if logged, found := previous[entry.Name]; !found || logged != entry {
		eventEntryUnusable.Log("kind", kind.String(), "entry", entry.Name, "field", entry.Field, "reason", string(entry.Reason))
	}
	u.entries[kind][entry.Name] = entry
}

// count returns the number of unusable entries by reason. The mutex must be held.
func (u *unusableEntries) count() map[UnusableReason]int {
	counts := make(map[UnusableReason]int)
	for _, entries := range u.entries {
		for _, entry := range entries {
			counts[entry.Reason]++
		}
	}
	return counts
}
