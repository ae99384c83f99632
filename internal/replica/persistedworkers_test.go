package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func workerChange(id string, slots int) directory.Change {
	worker := directory.Worker{ID: id, Instance: id, Service: "s", Address: id + ":1", Zone: "z", Slots: slots}
	return directory.Change{Object: directory.Object{Name: id, Worker: &worker}}
}

// Applies random changes to a list, some of which are written, and then reads the written records.
func TestPersistedWorkersMatchNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := directory.NewState(time.Now, nil)
		var persisted persistedWorkers
		var disk []*replicav1.WorkerList
		state.ReplaceWorkers([]directory.Worker{{ID: "a", Instance: "a", Service: "s"}}, 1)
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "instance")
			change := workerChange(name, step+1)
			if rapid.Bool().Draw(t, "goes") {
				change = directory.Change{Object: directory.Object{Name: name}, Deleted: true}
			}
			state.ApplyWorkerChanges([]directory.Change{change}, int64(step+2))
			if rapid.Bool().Draw(t, "written") {
				list := state.WorkerChanges(persisted.revision)
				disk = append(disk, list)
				require.True(t, persisted.apply(list))
			}
		}
		var read persistedWorkers
		for _, list := range disk {
			read.apply(list)
			read.apply(list)
		}
		require.Equal(t, persisted.revision, read.revision)
		require.Len(t, read.byID, len(persisted.byID))
		if persisted.revision != state.WorkersRevision() {
			return
		}
		want := make(map[string]uint32)
		for _, worker := range state.WorkerList().Workers {
			want[worker.Instance] = worker.Slots
		}
		got := make(map[string]uint32)
		for _, worker := range read.list().GetWorkers() {
			got[worker.Instance] = worker.Slots
		}
		require.Equal(t, want, got)
	})
}

// Compares the size of the record that is written for one change.
func TestWorkerChangeSizeIsIndependentOfWorkerCount(t *testing.T) {
	written := func(workers int) int {
		state := directory.NewState(time.Now, nil)
		var listed []directory.Worker
		for i := range workers {
			listed = append(listed, *workerChange(fmt.Sprintf("worker-%05d", i), 1).Object.Worker)
		}
		state.ReplaceWorkers(listed, 5)
		var persisted persistedWorkers
		require.True(t, persisted.apply(state.WorkerChanges(persisted.revision)))
		state.ApplyWorkerChanges([]directory.Change{workerChange("worker-00000", 2)}, 6)
		return proto.Size(state.WorkerChanges(persisted.revision))
	}
	require.Equal(t, written(100), written(1000))
}
