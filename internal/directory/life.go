package directory

import (
	"maps"
	"strconv"
	"strings"
	"time"
)

// lifeSeparator stands between an instance and the start of one of its lives.
const lifeSeparator = "@"

// IncarnationID names one life of a worker: the instance that it is registered as, and its start in
// Unix ms, 0 where that is not known. Everything that is believed of a worker is kept under
// this name, so that a worker which starts again is a new one by construction, and nothing
// of its former life is used. Two lives never share a name, whatever instances are called.
func IncarnationID(instance string, started int64) string {
	if started == 0 && !strings.Contains(instance, lifeSeparator) {
		return instance
	}
	return instance + lifeSeparator + strconv.FormatInt(started, 10)
}

// maxUnlistedLives is how many instances that are not listed are remembered with their
// starts: those of some hours of restarts. A late entry of a former life comes within
// seconds.
const maxUnlistedLives = 4096

// maxStartAhead is how far ahead of this machine's time of day a worker's start may lie: clocks
// differ by seconds. One that lies further ahead would make every later life a former one.
const maxStartAhead = 5 * time.Minute

// lives remembers the newest start of each instance. The start decides which life is the
// newer one, never the order in which entries arrive: an entry may be written late, or be
// passed on by a process that is behind.
type lives map[string]int64

// admits reports whether a worker is neither a former life of an instance nor one that is yet
// to start, and remembers it. One without a start says nothing of its life, and is taken as it
// comes.
func (l lives) admits(worker Worker, now time.Time) bool {
	switch {
	case worker.StartedMs == 0:
		return true
	case worker.StartedMs < l[worker.Instance], worker.StartedMs > now.Add(maxStartAhead).UnixMilli():
		return false
	}
	l[worker.Instance] = worker.StartedMs
	return true
}

// forget drops instances that are not listed, once they may be many.
func (l lives) forget(listed func(instance string) bool) {
	if len(l) <= maxUnlistedLives {
		return
	}
	maps.DeleteFunc(l, func(instance string, _ int64) bool { return !listed(instance) })
}
