package replica

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// versionAgeSteps are the ages at which the age of a software version is written to the disk again. They
// are apart as far as the lifetimes of streams are.
var versionAgeSteps = []time.Duration{
	0, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, time.Minute, 10 * time.Minute, directory.KnownFromTheBeginning,
}

// versionKey identifies a software version of a service's workers.
type versionKey struct{ service, version string }

// persistedVersions are the ages of software versions as they are on the disk: for how long this replica had
// known each when it last wrote that.
type persistedVersions struct {
	ages map[versionKey]*replicav1.KnownVersion
}

// apply applies an age and reports whether it is new.
func (p *persistedVersions) apply(known *replicav1.KnownVersion) bool {
	key := versionKey{service: known.Service, version: known.Version}
	if stored := p.ages[key]; stored != nil && stored.KnownMs == known.KnownMs {
		return false
	}
	if p.ages == nil {
		p.ages = make(map[versionKey]*replicav1.KnownVersion)
	}
	p.ages[key] = known
	return true
}

// records returns the records of all ages.
func (p *persistedVersions) records() (records []*replicav1.Record) {
	for _, known := range p.ages {
		records = append(records, knownVersionRecord(known))
	}
	return records
}

func knownVersionRecord(known *replicav1.KnownVersion) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_KnownVersion{KnownVersion: known}}
}

// changes returns the records of the versions whose age has passed another step than the stored one, or has
// begun anew.
func (p *persistedVersions) changes(ages []directory.VersionAge) (records []*replicav1.Record) {
	for _, age := range ages {
		step := lastAgeStep(age.KnownFor)
		stored := p.ages[versionKey{service: age.Service, version: age.Version}]
		if stored != nil && stored.KnownMs == uint64(step.Milliseconds()) {
			continue
		}
		records = append(records, knownVersionRecord(&replicav1.KnownVersion{
			Service: age.Service, Version: age.Version, KnownMs: uint64(step.Milliseconds()),
		}))
	}
	return records
}

// lastAgeStep returns the last of versionAgeSteps that an age has passed.
func lastAgeStep(age time.Duration) (last time.Duration) {
	for _, step := range versionAgeSteps {
		if age >= step {
			last = step
		}
	}
	return last
}

// restoreVersions applies the stored ages of software versions.
func (r *Replica) restoreVersions() {
	for key, known := range r.state.versions.ages {
		r.versions.Restore(key.service, key.version, time.Duration(known.KnownMs)*time.Millisecond)
	}
}

// persistVersions writes the ages of software versions that have changed.
func (r *Replica) persistVersions() {
	r.state.mutex.Lock()
	records := r.state.versions.changes(r.versions.Ages())
	r.state.mutex.Unlock()
	if len(records) == 0 {
		return
	}
	if err := r.state.write(records...); err != nil {
		r.writeFailures.log(err)
	}
}
