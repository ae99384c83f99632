package distance

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minimumWindow is the length of the window over which the minimum round-trip latency of a
	// zone is taken. The minimum covers the current and the previous window, so between one and
	// two windows. A caller that uses a zone sends several requests per window, so a lasting
	// increase in latency shows after at most two windows.
	minimumWindow = 30 * time.Second
	// sampleExpiry is how long the latency of a zone stays valid without a new sample. A caller
	// that sends no requests to a zone still knows its latency when it has to use it.
	sampleExpiry = 10 * time.Minute
	// defaultExtraLatency is the extra round-trip latency assumed for another region before any
	// sample exists: a distance of about 1,000 km. The first connection replaces it.
	defaultExtraLatency = 10 * time.Millisecond
	// rankGranularity is the latency difference below which zones of other regions can share a
	// rank. It is smaller than the variation between calls; a finer order would send all
	// requests to one of several equally distant zones.
	rankGranularity = 4 * time.Millisecond
)

// ZoneLatencies tracks round-trip latencies to zones, sampled from regular calls and
// connections. All samples of one ZoneLatencies must be of the same kind to be comparable. It
// is safe for concurrent use; View never blocks.
type ZoneLatencies struct {
	topology Topology

	mutex         sync.Mutex
	minimumByZone map[string]*windowedMinimum
	view          atomic.Pointer[View]
}

// windowedMinimum is the minimum latency of one zone over the last windows.
type windowedMinimum struct {
	// previous is the minimum of the previous window, current that of the window that started
	// at windowStart; 0 means no sample.
	previous, current time.Duration
	windowStart       time.Time
	lastSample        time.Time
}

// value returns the minimum of both windows.
func (m *windowedMinimum) value() time.Duration {
	if m.previous == 0 {
		return m.current
	}
	return min(m.previous, m.current)
}

// observe adds a sample.
func (m *windowedMinimum) observe(now time.Time, latency time.Duration) {
	if now.Sub(m.lastSample) > sampleExpiry {
		*m = windowedMinimum{windowStart: now}
	}
	if now.Sub(m.windowStart) >= minimumWindow {
		m.previous, m.current, m.windowStart = m.current, 0, now
	}
	if m.current == 0 || latency < m.current {
		m.current = latency
	}
	m.lastSample = now
}

// NewZoneLatencies returns a ZoneLatencies without samples.
func NewZoneLatencies(topology Topology) *ZoneLatencies {
	latencies := &ZoneLatencies{topology: topology, minimumByZone: make(map[string]*windowedMinimum)}
	latencies.view.Store(&View{topology: topology})
	return latencies
}

// Observe adds the latency of one round trip to a zone. Samples are ignored if there is only
// one region, because nothing depends on latency then.
func (l *ZoneLatencies) Observe(now time.Time, zone string, latency time.Duration) {
	if latency <= 0 || !l.topology.MultiRegion() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	minimum := l.minimumByZone[zone]
	if minimum == nil {
		minimum = &windowedMinimum{windowStart: now}
		l.minimumByZone[zone] = minimum
	}
	previousValue := minimum.value()
	minimum.observe(now, latency)
	if minimum.value() != previousValue {
		l.view.Store(l.buildView(now))
	}
}

// buildView returns a view of the current latencies and deletes expired ones. The caller holds
// the mutex.
func (l *ZoneLatencies) buildView(now time.Time) *View {
	view := &View{topology: l.topology, extraByZone: make(map[string]time.Duration, len(l.minimumByZone))}
	baseline := l.baseline(now)
	for zone, minimum := range l.minimumByZone {
		if now.Sub(minimum.lastSample) > sampleExpiry {
			delete(l.minimumByZone, zone)
			continue
		}
		extra := max(0, minimum.value()-baseline)
		view.extraByZone[zone] = extra
		class := l.topology.Class(zone)
		if !view.classMeasured[class] || extra < view.classMinimum[class] {
			view.classMeasured[class], view.classMinimum[class] = true, extra
		}
	}
	return view
}

// baseline returns the minimum latency within the process's zone, or within its region if its
// zone has no samples; 0 if neither has. The caller holds the mutex.
func (l *ZoneLatencies) baseline(now time.Time) time.Duration {
	var minimumByClass [classCount]time.Duration
	for zone, minimum := range l.minimumByZone {
		class := l.topology.Class(zone)
		if value := minimum.value(); now.Sub(minimum.lastSample) <= sampleExpiry && (minimumByClass[class] == 0 || value < minimumByClass[class]) {
			minimumByClass[class] = value
		}
	}
	if minimumByClass[OwnZone] > 0 {
		return minimumByClass[OwnZone]
	}
	return minimumByClass[OwnRegion]
}

// View returns the current view.
func (l *ZoneLatencies) View() *View { return l.view.Load() }

// View is an immutable snapshot of the latencies to zones.
type View struct {
	topology    Topology
	extraByZone map[string]time.Duration
	// classMinimum is the minimum extra latency of each class; valid if classMeasured is set.
	classMinimum  [classCount]time.Duration
	classMeasured [classCount]bool
}

// ExtraLatency returns how much longer a round trip to a zone takes than one within this
// process's zone. A zone without samples gets the minimum of the zones in its class.
func (v *View) ExtraLatency(zone string) time.Duration {
	if extra, measured := v.extraByZone[zone]; measured {
		return extra
	}
	class := v.topology.Class(zone)
	switch {
	case v.classMeasured[class]:
		return v.classMinimum[class]
	case class == OtherRegion:
		return defaultExtraLatency
	}
	return 0
}

// Rank returns the sort key of a zone, nearest first; zones of equal rank are equally distant.
// This process's zone has rank 0 and other zones of its region rank 1. Zones of other regions
// rank by measured latency.
func (v *View) Rank(zone string) int {
	class := v.topology.Class(zone)
	if class != OtherRegion {
		return int(class)
	}
	return int(OtherRegion) + int(v.ExtraLatency(zone)/rankGranularity)
}
