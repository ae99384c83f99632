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
	eventEntryUnusable = event.Define(2607, event.Warning, "an entry of the platform's store names nothing to use; it is left out", "Look who writes the entry; the others hold.")
	eventEntryMended   = event.Define(2608, event.Info, "an entry of the platform's store can be used again, or is gone", "")
)

// UnusableEntry is why an entry of the platform's store names no object to use. Others than the
// product write there: what they write is input, and a bad entry costs nothing but itself.
type UnusableEntry struct {
	// Name is the entry's; "" where that cannot be read either.
	Name string
	// Field is the one that is wrong, Reason what is wrong with it.
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

// Retry allows another try: its writer may mend it.
func (u *UnusableEntry) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// UnusableReason is what is wrong with a field of an entry.
type UnusableReason string

// The reasons.
const (
	FieldMissing    UnusableReason = "missing"
	FieldUnreadable UnusableReason = "unreadable"
	FieldOutOfRange UnusableReason = "out of range"
	FieldUnknown    UnusableReason = "unknown value"
)

// unusableEntries knows which entries name nothing to use, so that each is told once, not
// with every heartbeat that its writer sends.
type unusableEntries struct {
	mutex sync.Mutex
	known map[Kind]map[string]UnusableEntry
	// gauge is nil until the process has metrics.
	gauge *prometheus.GaugeVec
}

func newUnusableEntries() *unusableEntries {
	return &unusableEntries{known: make(map[Kind]map[string]UnusableEntry)}
}

// report keeps a gauge of the entries, by reason.
func (u *unusableEntries) report(registry *telemetry.Registry) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.gauge = registry.Gauge(metricUnusable)
	u.show()
}

// show brings the gauge up to date. The mutex is held.
func (u *unusableEntries) show() {
	if u.gauge == nil {
		return
	}
	counts := u.count()
	for _, reason := range []UnusableReason{FieldMissing, FieldUnreadable, FieldOutOfRange, FieldUnknown} {
		u.gauge.WithLabelValues(string(reason)).Set(float64(counts[reason]))
	}
}

// takeListing takes all entries of a kind.
func (u *unusableEntries) takeListing(kind Kind, listing Listing) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	defer u.show()
	before := u.known[kind]
	u.known[kind] = make(map[string]UnusableEntry, len(listing.Unusable))
	for _, entry := range listing.Unusable {
		u.add(kind, entry, before)
	}
	for name := range before {
		if _, still := u.known[kind][name]; !still {
			eventEntryMended.Log("kind", kind.String(), "entry", name)
		}
	}
}

// takeChanges takes the entries of a kind that have changed.
func (u *unusableEntries) takeChanges(kind Kind, changes []Change) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	defer u.show()
	for _, change := range changes {
		known := u.known[kind]
		if change.Unusable != nil {
			if known == nil {
				known = make(map[string]UnusableEntry)
				u.known[kind] = known
			}
			u.add(kind, *change.Unusable, known)
			continue
		}
		if _, was := known[change.Object.Name]; was {
			delete(known, change.Object.Name)
			eventEntryMended.Log("kind", kind.String(), "entry", change.Object.Name)
		}
	}
}

// add notes an entry, and tells of it unless the same was told before. The mutex is held.
func (u *unusableEntries) add(kind Kind, entry UnusableEntry, before map[string]UnusableEntry) {
	if told, was := before[entry.Name]; !was || told != entry {
		eventEntryUnusable.Log("kind", kind.String(), "entry", entry.Name, "field", entry.Field, "reason", string(entry.Reason))
	}
	u.known[kind][entry.Name] = entry
}

// count returns how many entries name nothing to use, by reason. The mutex is held.
func (u *unusableEntries) count() map[UnusableReason]int {
	counts := make(map[UnusableReason]int)
	for _, entries := range u.known {
		for _, entry := range entries {
			counts[entry.Reason]++
		}
	}
	return counts
}
