package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// historyUnderTest is a history with a clock that the test advances, fed by a state.
type historyUnderTest struct {
	*VersionHistory
	clock time.Time
	// firstStart is set if the whole system starts for the first time.
	firstStart bool
	workers    map[string]string
	gotOther   bool
}

func newHistoryUnderTest(firstStart bool) *historyUnderTest {
	under := &historyUnderTest{clock: time.Unix(1000, 0), firstStart: firstStart, workers: make(map[string]string)}
	under.VersionHistory = NewVersionHistory(func() time.Time { return under.clock })
	return under
}

// list makes a worker available; version "" removes it.
func (h *historyUnderTest) list(id, version string) {
	removed := WorkerUpdate{}
	added := WorkerUpdate{Added: []string{id}}
	if _, listed := h.workers[id]; listed {
		removed.Removed = []string{id}
	}
	if version == "" {
		h.Update(&View{}, removed, h.firstStart)
		delete(h.workers, id)
		return
	}
	h.workers[id] = version
	index := newWorkerIndex()
	index.put(NewWorkerRecord(Worker{ID: id, Instance: id, Service: "model", Zone: "z", Version: version}, h.clock))
	h.gotOther = h.Update(&View{Workers: index.snapshot()}, added, h.firstStart)
}

func (h *historyUnderTest) advance(by time.Duration) { h.clock = h.clock.Add(by) }

func TestServiceHasOneVersionOnlyAfterItsOthersAreLongGone(t *testing.T) {
	const window = 9 * time.Second
	h := newHistoryUnderTest(false)
	require.False(t, h.HasOneVersion("model", window), "nothing is known")
	h.list("a", "v1")
	require.False(t, h.gotOther)
	require.False(t, h.HasOneVersion("model", window), "another one may have just left")
	h.advance(window)
	require.True(t, h.HasOneVersion("model", window))
	h.list("b", "v2")
	require.True(t, h.gotOther)
	require.False(t, h.HasOneVersion("model", window))
	h.list("a", "")
	h.advance(window - time.Second)
	require.False(t, h.HasOneVersion("model", window), "streams of v1 may go on")
	h.advance(time.Second)
	require.True(t, h.HasOneVersion("model", window))
}

func TestWorkerOfUnknownVersionIsNotOneVersion(t *testing.T) {
	h := newHistoryUnderTest(false)
	h.add("a", workerVersion{service: "model"}, false)
	h.advance(time.Minute)
	require.False(t, h.HasOneVersion("model", time.Second))
}

func TestVersionThatReturnsIsNew(t *testing.T) {
	h := newHistoryUnderTest(false)
	h.list("a", "v1")
	h.advance(time.Minute)
	h.list("a", "")
	h.advance(maxVersionGap)
	h.list("a", "v1")
	require.Equal(t, time.Minute+maxVersionGap, h.KnownFor("model")["v1"], "a restart of its workers is no new release")
	h.list("a", "")
	h.advance(maxVersionGap + time.Second)
	h.list("a", "v1")
	require.Zero(t, h.KnownFor("model")["v1"])
}

func TestVersionsOfTheFirstStartAreKnownFromTheBeginning(t *testing.T) {
	h := newHistoryUnderTest(true)
	h.list("a", "v1")
	h.advance(time.Second)
	h.list("b", "v2")
	h.advance(maxVersionGap)
	h.list("c", "v3")
	known := h.KnownFor("model")
	require.Equal(t, KnownFromTheBeginning, known["v1"])
	require.Equal(t, KnownFromTheBeginning, known["v2"])
	require.Zero(t, known["v3"])
}

func TestVersionsAreAsOldAfterARestartAsTheyWere(t *testing.T) {
	h := newHistoryUnderTest(false)
	h.Restore("model", "v1", KnownFromTheBeginning)
	h.Restore("model", "v2", 10*time.Second)
	h.advance(time.Second)
	h.list("a", "v1")
	h.list("b", "v2")
	h.list("c", "v3")
	require.Equal(t, map[string]time.Duration{"v1": KnownFromTheBeginning, "v2": 11 * time.Second, "v3": 0}, h.KnownFor("model"))
}

func TestStoredVersionThatIsNotListedSoonIsNew(t *testing.T) {
	h := newHistoryUnderTest(false)
	h.Restore("model", "v1", time.Minute)
	h.advance(maxVersionGap + time.Second)
	h.list("a", "v1")
	require.Zero(t, h.KnownFor("model")["v1"])
}
