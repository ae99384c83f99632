package distance

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// window is how long the least round trip of a zone is taken over, at least, and twice
	// that at most. A caller that talks to a zone at all does so several times in it, and a
	// way that has become longer for good shows after it.
	window = 30 * time.Second
	// memory is how long a zone's time is believed without a new sample: a caller that
	// sends nothing there still knows the way when it has to.
	memory = 10 * time.Minute
	// unmeasured is what a round trip to another region is taken to cost more than one at
	// home while nothing was measured there: that of some 1,000 km. The first connection
	// replaces it.
	unmeasured = 10 * time.Millisecond
	// alike is the difference up to which two ways cost a caller the same: it is less than
	// what calls vary by themselves, and a finer order would send all work to one of several
	// zones that are equally far.
	alike = 4 * time.Millisecond
)

// ZoneLatencies measures the ways to zones from calls and connections that are made anyway. The
// samples of one Times must be of one kind, so that they compare. It is safe for
// concurrent use; readers of View never wait.
type ZoneLatencies struct {
	places Topology

	mutex sync.Mutex
	zones map[string]*leastTime
	view  atomic.Pointer[View]
}

// leastTime is the least of the last samples of a zone.
type leastTime struct {
	// before is the least of the last whole window, current of the one that began at began;
	// 0 is none.
	before, current time.Duration
	began           time.Time
	last            time.Time
}

// value returns the least of the last samples.
func (l *leastTime) value() time.Duration {
	if l.before == 0 {
		return l.current
	}
	return min(l.before, l.current)
}

// observe takes a sample.
func (l *leastTime) observe(now time.Time, took time.Duration) {
	if now.Sub(l.last) > memory {
		*l = leastTime{began: now}
	}
	if now.Sub(l.began) >= window {
		l.before, l.current, l.began = l.current, 0, now
	}
	if l.current == 0 || took < l.current {
		l.current = took
	}
	l.last = now
}

// NewZoneLatencies returns a record without samples.
func NewZoneLatencies(places Topology) *ZoneLatencies {
	times := &ZoneLatencies{places: places, zones: make(map[string]*leastTime)}
	times.view.Store(&View{places: places})
	return times
}

// Observe takes how long a round trip to a zone took.
func (t *ZoneLatencies) Observe(now time.Time, zone string, took time.Duration) {
	if took <= 0 || !t.places.MultiRegion() {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.zones[zone]
	if known == nil {
		known = &leastTime{began: now}
		t.zones[zone] = known
	}
	before := known.value()
	known.observe(now, took)
	if known.value() != before {
		t.view.Store(t.measured(now))
	}
}

// measured makes the view of what is known now. The mutex is held.
func (t *ZoneLatencies) measured(now time.Time) *View {
	view := &View{places: t.places, extra: make(map[string]time.Duration, len(t.zones))}
	home := t.home(now)
	for zone, known := range t.zones {
		if now.Sub(known.last) > memory {
			delete(t.zones, zone)
			continue
		}
		extra := max(0, known.value()-home)
		view.extra[zone] = extra
		class := t.places.Class(zone)
		if !view.known[class] || extra < view.typical[class] {
			view.known[class], view.typical[class] = true, extra
		}
	}
	return view
}

// home returns the round trip at home: the least to a zone of the nearest class that was
// measured. The mutex is held.
func (t *ZoneLatencies) home(now time.Time) time.Duration {
	var least [classes]time.Duration
	for zone, known := range t.zones {
		class := t.places.Class(zone)
		if value := known.value(); now.Sub(known.last) <= memory && (least[class] == 0 || value < least[class]) {
			least[class] = value
		}
	}
	if least[OwnZone] > 0 {
		return least[OwnZone]
	}
	return least[OwnRegion]
}

// View returns what is known now.
func (t *ZoneLatencies) View() *View { return t.view.Load() }

// View is what was known of the ways at one moment. It is immutable.
type View struct {
	places Topology
	extra  map[string]time.Duration
	// typical is the least extra time of each class's zones, where known is set.
	typical [classes]time.Duration
	known   [classes]bool
}

// ExtraLatency returns how much longer a round trip to a zone takes than one at home. A zone that
// was not measured is taken to be as far as the nearest of its class that was.
func (v *View) ExtraLatency(zone string) time.Duration {
	if extra, measured := v.extra[zone]; measured {
		return extra
	}
	class := v.places.Class(zone)
	switch {
	case v.known[class]:
		return v.typical[class]
	case class == OtherRegion:
		return unmeasured
	}
	return 0
}

// Rank orders zones: those of one rank are equally far. The own zone is 0, the others of
// its region are 1, and those of other regions follow by their measured times.
func (v *View) Rank(zone string) int {
	class := v.places.Class(zone)
	if class != OtherRegion {
		return int(class)
	}
	return int(OtherRegion) + int(v.ExtraLatency(zone)/alike)
}
