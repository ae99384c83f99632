package directory

import (
	"maps"
	"strconv"
	"strings"
	"time"
)

// incarnationSeparator separates the instance from the start time in an incarnation's ID.
const incarnationSeparator = "@"

// IncarnationID identifies one incarnation of a worker: the instance that it is registered as and
// its start in Unix ms, or 0 if the start is unknown. All state about a worker is stored under this
// ID, so a restarted worker inherits nothing from its previous incarnation. Two incarnations never
// share an ID, whatever the names of the instances.
func IncarnationID(instance string, startedMs int64) string {
	if startedMs == 0 && !strings.Contains(instance, incarnationSeparator) {
		return instance
	}
	return instance + incarnationSeparator + strconv.FormatInt(startedMs, 10)
}

// maxUnlistedInstances is the number of remembered instances above which those that are not listed
// are removed. It covers several hours of restarts; a late entry of a previous incarnation arrives
// within seconds.
const maxUnlistedInstances = 4096

// maxClockSkew is how far a worker's start may lie in the future by this machine's clock. Clocks
// differ by seconds. A start further in the future would make every later incarnation look
// outdated.
const maxClockSkew = 5 * time.Minute

// incarnations stores the newest known start of each instance. Only the start decides which
// incarnation is newer, not the order of arrival: an entry may be written late or relayed by a
// process that lags behind.
type incarnations map[string]int64

// admit reports whether a worker is neither an outdated incarnation nor one that starts in the
// future, and stores its start. A worker without a start is always admitted.
func (l incarnations) admit(worker Worker, now time.Time) bool {
	switch {
	case worker.StartedMs == 0:
		return true
	case worker.StartedMs < l[worker.Instance], worker.StartedMs > now.Add(maxClockSkew).UnixMilli():
		return false
	}
	l[worker.Instance] = worker.StartedMs
	return true
}

// prune removes instances that are not listed when there are more than maxUnlistedInstances.
func (l incarnations) prune(listed func(instance string) bool) {
	if len(l) <= maxUnlistedInstances {
		return
	}
	maps.DeleteFunc(l, func(instance string, _ int64) bool { return !listed(instance) })
}
