package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// workerWriteInterval is the minimum interval between writes of the worker list.
	workerWriteInterval = 500 * time.Millisecond
	compactInterval     = 5 * time.Second
)

// restoreDirectory loads the stored configuration, drained zones, workers and groups into the
// directory. They apply until the platform's store provides newer ones.
func (r *Replica) restoreDirectory() {
	for _, group := range r.state.currentGroups() {
		r.directory.ApplyGroup(group, directory.SourceDisk)
	}
	r.directory.ApplyDrainedZoneList(r.state.drainedZones)
	r.restoreVersions()
	r.directory.ApplyWorkerList(r.state.workers.list())
	stored := r.state.configuration
	if stored == nil {
		return
	}
	configuration := &route.Configuration{}
	if err := json.Unmarshal(stored.Document, configuration); err == nil {
		r.directory.ApplyConfiguration(configuration)
	}
}

// persistConfiguration writes a newer configuration to the disk in the background, because the
// platform's store has it too.
func (r *Replica) persistConfiguration(view *directory.View) {
	if view.Table == nil {
		return
	}
	r.state.mutex.Lock()
	upToDate := r.state.configuration != nil && r.state.configuration.Version >= view.Table.Version()
	r.state.mutex.Unlock()
	if upToDate {
		return
	}
	document, err := json.Marshal(view.Table.Configuration())
	if err != nil {
		return
	}
	encoded := &replicav1.Configuration{Version: view.Table.Version(), Document: document}
	r.writeInBackground(&replicav1.Record{Kind: &replicav1.Record_Configuration{Configuration: encoded}})
}

// persistZoneDrains writes newer drained zones to the disk, in the background but without delay.
// After a power loss on all machines they must apply while the platform's store is unavailable.
func (r *Replica) persistZoneDrains(view *directory.View) {
	r.state.mutex.Lock()
	storedRevision := r.state.drainedZones.GetRevision()
	r.state.mutex.Unlock()
	if view.Drains.Revision > storedRevision {
		list := &replicav1.DrainedZoneList{Revision: view.Drains.Revision, Zones: view.Drains.Zones()}
		r.writeInBackground(&replicav1.Record{Kind: &replicav1.Record_DrainedZones{DrainedZones: list}})
	}
}

// writeInBackground writes a record that is also available from the platform's store or from other
// replicas.
func (r *Replica) writeInBackground(record *replicav1.Record) {
	go func() {
		if err := r.state.write(record); err != nil {
			r.writeFailures.log(err)
		}
	}()
}

// runWorkerPersistence periodically writes changes of the worker list, and drained zones that are
// not on the disk yet. After a power loss on all machines this copy is the only one while the
// platform's store is unavailable.
func (r *Replica) runWorkerPersistence(ctx context.Context) {
	for pause.For(ctx, workerWriteInterval) {
		// Retries a write that the disk rejected when the drain arrived.
		r.persistZoneDrains(r.directory.View())
		r.persistVersions()
		r.state.mutex.Lock()
		storedRevision := r.state.workers.revision
		r.state.mutex.Unlock()
		if r.directory.WorkersRevision() <= storedRevision {
			continue
		}
		record := &replicav1.Record{Kind: &replicav1.Record_Workers{Workers: r.directory.WorkerChanges(storedRevision)}}
		if err := r.state.write(record); err != nil {
			r.writeFailures.log(err)
		}
	}
}

// runCompaction drops expired records and compacts the log periodically.
func (r *Replica) runCompaction(ctx context.Context) {
	for pause.For(ctx, compactInterval) {
		r.expireRecords(ctx)
		if err := r.state.compact(time.Now()); err != nil {
			r.writeFailures.log(err)
		}
	}
}
