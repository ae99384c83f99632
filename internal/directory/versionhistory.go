package directory

import (
	"math"
	"sync"
	"time"
)

const (
	// maxVersionGap is for how long a version may have no worker and count as the same release. It is
	// shorter than any stream that is kept.
	maxVersionGap = 5 * time.Second
	// versionMemory is how long a version without workers is remembered.
	versionMemory = 10 * time.Minute
	// KnownFromTheBeginning is for how long a version is known that no other one of its service preceded.
	KnownFromTheBeginning time.Duration = math.MaxInt64
)

// VersionHistory records which software versions the workers of each service have, and since when this
// process has known each. It is safe for concurrent use.
type VersionHistory struct {
	now func() time.Time

	mutex    sync.Mutex
	services map[string]*serviceVersions
	// workers are the services and versions of the available workers, by ID.
	workers map[string]workerVersion
}

type workerVersion struct{ service, version string }

// serviceVersions are the versions of one service's workers.
type serviceVersions struct {
	// since is when this process first knew a worker of the service.
	since    time.Time
	versions map[string]*knownVersion
}

type knownVersion struct {
	// since is when this process first knew a worker of the version; zero means from the beginning.
	since time.Time
	// workers is the number of available workers, and lastListed when there last was one.
	workers    int
	lastListed time.Time
}

// NewVersionHistory returns an empty history.
func NewVersionHistory(now func() time.Time) *VersionHistory {
	return &VersionHistory{now: now, services: make(map[string]*serviceVersions), workers: make(map[string]workerVersion)}
}

// VersionAge is for how long this process has known workers of a version.
type VersionAge struct {
	Service, Version string
	KnownFor         time.Duration
}

// Restore records for how long a version was known before this process started, at least. One that was known
// for versionMemory counts as known from the beginning.
func (h *VersionHistory) Restore(service, version string, knownFor time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.version(workerVersion{service: service, version: version})
	now := h.now()
	known.since, known.lastListed = now.Add(-knownFor), now
	if knownFor >= versionMemory {
		known.since = time.Time{}
	}
}

// Update records the changes of a view, and reports whether a service has got a further version. isFirstStart
// is set if the whole system starts for the first time: versions that a service has within maxVersionGap then
// are known from the beginning.
func (h *VersionHistory) Update(view *View, update WorkerUpdate, isFirstStart bool) (gotVersion bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range update.Removed {
		h.remove(id)
	}
	for _, id := range update.Added {
		record, found := view.Workers.Find(id)
		if !found {
			continue
		}
		gotVersion = h.add(id, workerVersion{service: record.Service, version: record.Version}, isFirstStart) || gotVersion
	}
	return gotVersion
}

// add adds an available worker and reports whether its version is a further one of its service. The mutex
// must be held.
func (h *VersionHistory) add(id string, added workerVersion, isFirstStart bool) (further bool) {
	if before, listed := h.workers[id]; listed {
		if before == added {
			return false
		}
		h.remove(id)
	}
	h.workers[id] = added
	known := h.version(added)
	now := h.now()
	if known.workers == 0 && !known.lastListed.IsZero() && now.Sub(known.lastListed) > maxVersionGap {
		known.since = now
	}
	if isFirstStart && known.lastListed.IsZero() && now.Sub(h.services[added.service].since) < maxVersionGap {
		known.since = time.Time{}
	}
	known.workers++
	known.lastListed = now
	return len(h.services[added.service].versions) > 1 && known.workers == 1
}

// version returns what is known of a version, which it adds if needed. The mutex must be held.
func (h *VersionHistory) version(of workerVersion) *knownVersion {
	now := h.now()
	service := h.services[of.service]
	if service == nil {
		service = &serviceVersions{since: now, versions: make(map[string]*knownVersion)}
		h.services[of.service] = service
	}
	known := service.versions[of.version]
	if known == nil {
		known = &knownVersion{since: now}
		service.versions[of.version] = known
	}
	for name, other := range service.versions {
		if other != known && other.workers == 0 && now.Sub(other.lastListed) > versionMemory {
			delete(service.versions, name)
		}
	}
	return known
}

// remove removes a worker. The mutex must be held.
func (h *VersionHistory) remove(id string) {
	removed, listed := h.workers[id]
	if !listed {
		return
	}
	delete(h.workers, id)
	known := h.services[removed.service].versions[removed.version]
	known.workers--
	known.lastListed = h.now()
}

// HasOneVersion reports whether a service has had workers of one known version alone for the given time,
// and this process has known that for as long.
func (h *VersionHistory) HasOneVersion(service string, within time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.services[service]
	if known == nil || h.now().Sub(known.since) < within {
		return false
	}
	recent := 0
	for version, each := range known.versions {
		if each.workers > 0 || h.now().Sub(each.lastListed) < within {
			recent++
			if version == "" {
				return false
			}
		}
	}
	return recent == 1
}

// KnownFor returns for how long this process has known each version of a service's workers, by version.
func (h *VersionHistory) KnownFor(service string) map[string]time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := make(map[string]time.Duration)
	if found := h.services[service]; found != nil {
		for version, each := range found.versions {
			known[version] = each.age(h.now())
		}
	}
	return known
}

// Ages returns for how long this process has known each version of all services that has workers.
func (h *VersionHistory) Ages() (ages []VersionAge) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for service, found := range h.services {
		for version, each := range found.versions {
			if each.workers > 0 {
				ages = append(ages, VersionAge{Service: service, Version: version, KnownFor: each.age(h.now())})
			}
		}
	}
	return ages
}

// age returns for how long the version is known.
func (k *knownVersion) age(now time.Time) time.Duration {
	if k.since.IsZero() {
		return KnownFromTheBeginning
	}
	return now.Sub(k.since)
}
