package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
	"github.com/barleyshelf/barleyshelf/internal/requestkey"
)

// recordTestEnds records ends under one request in a state and writes them.
func recordTestEnds(t *testing.T, s *state, key requestkey.Key, ends int) {
	record := s.quarantine.RecordEnds(s.quarantine.Lookup(key), ends)
	require.NoError(t, s.writeQuarantine([]quarantine.Record{record}))
}

func TestEndsOfWorkersAreKnownAfterARestart(t *testing.T) {
	disk := recordlogtest.NewDisk()
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	opened, err := openStateWithClock(disk, clock)
	require.NoError(t, err)
	key, cleared := requestkey.Of(1, requestkey.Content{Target: "/a"}), requestkey.Of(1, requestkey.Content{Target: "/b"})
	recordTestEnds(t, opened, key, quarantine.MaxWorkerEnds)
	recordTestEnds(t, opened, cleared, quarantine.MaxWorkerEnds)
	started, _ := opened.quarantine.Clear(cleared)
	require.NoError(t, opened.writeQuarantine([]quarantine.Record{started}))
	opened.log.Close()

	now = now.Add(9 * time.Minute)
	reopened, err := openStateWithClock(disk, clock)
	require.NoError(t, err)
	require.Equal(t, quarantine.MaxWorkerEnds, reopened.quarantine.Lookup(key).Total())
	require.Zero(t, reopened.quarantine.Lookup(cleared).Total())
	reopened.log.Close()

	now = now.Add(2 * time.Minute)
	expired, err := openStateWithClock(disk, clock)
	require.NoError(t, err)
	defer expired.log.Close()
	require.Zero(t, expired.quarantine.Lookup(key).Total(), "a restart makes no record younger")
}

func TestCompactionKeepsTheEndsOfWorkers(t *testing.T) {
	disk := recordlogtest.NewDisk()
	opened, err := openState(disk)
	require.NoError(t, err)
	key := requestkey.Of(1, requestkey.Content{})
	recordTestEnds(t, opened, key, 2)
	require.NoError(t, opened.compactSegment(opened.log.OldestSegment()))
	opened.log.Close()
	reopened, err := openState(disk)
	require.NoError(t, err)
	defer reopened.log.Close()
	require.Equal(t, 2, reopened.quarantine.Lookup(key).Total())
}
