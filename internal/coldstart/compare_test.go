package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// herd lets all gateways hear of the worker and send what they may for a time, wishes at a
// time each.
func (w *world) herd(lasts time.Duration, wishes int) {
	const tick = 10 * time.Millisecond
	for range lasts / tick {
		for i, each := range w.processes {
			for range wishes {
				if !w.send(each, false) {
					w.way.ask(w, each, i%max(1, len(w.members)), 1, 2*time.Millisecond, false)
					break
				}
			}
		}
		w.step(tick)
	}
}

func (w *world) hearAll() {
	for _, each := range w.processes {
		each.list(entry("b", 0))
		each.hear(entry("a", coldFor))
	}
}

// TestStrategiesForReturningWorker is the comparison that docs/design/newcomers.md names.
// 68 gateways hear at one moment that a worker is back, and each has wishes for it.
func TestStrategiesForReturningWorker(t *testing.T) {
	play := func(way way, change func(w *world)) (worst, served int) {
		w := newWorld(way, 5, 68, sound)
		w.step(time.Minute)
		if change != nil {
			change(w)
		}
		w.hearAll()
		w.herd(4*time.Second, 1)
		return w.worst(), len(w.sent)
	}
	worst, served := play(grants{}, nil)
	require.LessOrEqual(t, worst, 39)
	require.GreaterOrEqual(t, served, 4*20, "the worker gets what it bears")
	worst, _ = play(unbounded{}, nil)
	require.GreaterOrEqual(t, worst, 68, "each gateway's first choice at one moment")
	worst, _ = play(parts{}, nil)
	require.GreaterOrEqual(t, worst, 68, "each part holds a request")
	worst, _ = play(parts{}, func(w *world) {
		for _, each := range w.processes[:34] {
			each.crowd = 8
		}
	})
	require.Greater(t, worst, 39, "gateways that know different numbers")
}

// TestEqualSharesExceedLimitWhenGatewayCountsDiffer holds that the parts are no bound even where
// each is larger than a request.
func TestEqualSharesExceedLimitWhenGatewayCountsDiffer(t *testing.T) {
	w := newWorld(parts{}, 5, 8, sound)
	w.step(time.Minute)
	w.hearAll()
	w.herd(4*time.Second, 20)
	require.NoError(t, w.check(), "all of them know that they are eight")
	w = newWorld(parts{}, 5, 8, sound)
	w.step(time.Minute)
	for _, each := range w.processes[4:] {
		each.crowd = 1
	}
	w.hearAll()
	w.herd(4*time.Second, 20)
	require.Error(t, w.check(), "four that have just started know of themselves alone")
}

// TestLeastLoadedChoiceOverloadsReturningWorker is the case that breaks a choice without
// a bound, with the choice itself: a worker that returns has nothing under way, so it is the
// least loaded one at each gateway, until it has about as much there as the others. With n
// under way at each of the others, a gateway sends it n - 2 at one moment, and n - 1 at
// least where its hash ranks first: 68 x 6 = 408 for n = 8.
func TestLeastLoadedChoiceOverloadsReturningWorker(t *testing.T) {
	const gateways, inFlight, workers = 68, 8, 6
	now := time.Unix(1000, 0)
	var listed []*directory.WorkerRecord
	for i := range workers {
		listed = append(listed, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("w%d", i)}})
	}
	back := &directory.WorkerRecord{Worker: directory.Worker{ID: "back"}}
	sent := 0
	for range gateways {
		chooses := balance.New(func() time.Time { return now }, "")
		for _, each := range listed {
			for range inFlight {
				chooses.Begin(each.ID)
			}
		}
		for number := range inFlight - 2 {
			chosen, found := chooses.Choose(append([]*directory.WorkerRecord{back}, listed...), balance.Request{Affinity: fmt.Sprint("program-", number), Service: "model"})
			require.True(t, found)
			if chosen.ID == back.ID {
				sent++
			}
		}
	}
	require.Greater(t, sent, 39, "39.5 in a second is what the worker bears")
	require.Equal(t, gateways*(inFlight-2), sent)
}

func TestColdWorkerIsNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(grants{}, rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 8).Draw(t, "gateways"), sound)
		w.step(time.Duration(rapid.IntRange(0, 5000).Draw(t, "calm")) * time.Millisecond)
		w.play(t)
		require.NoError(t, w.check())
	})
}

// play drives the world by drawn actions: answers late or lost, gateways that pause or start
// anew, members that are killed. The worker is cold all the while and says so, or its entry
// has just come and says nothing.
func (w *world) play(t *rapid.T) {
	w.hearAll()
	began := w.now
	action := rapid.IntRange(0, 99)
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		if w.now.Sub(began) > coldFor-time.Second {
			return
		}
		number := rapid.IntRange(0, len(w.processes)-1).Draw(t, "gateway")
		each := w.processes[number]
		switch chance := action.Draw(t, "action"); {
		case chance < 40:
			delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
			member := rapid.IntRange(0, len(w.members)-1).Draw(t, "member")
			w.way.ask(w, each, member, rapid.IntRange(1, 64).Draw(t, "wanted"), delay, chance > 36)
		case chance < 80:
			for range rapid.IntRange(1, 64).Draw(t, "requests") {
				w.send(each, chance < 50)
			}
		case chance < 94:
			w.step(time.Duration(rapid.IntRange(1, 400).Draw(t, "milliseconds")) * time.Millisecond)
		case chance < 96:
			each.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond)
		case chance < 98:
			w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "killed")] = w.newMember()
		default:
			anew := w.newProcess(len(w.processes))
			anew.list(entry("a", rapid.SampledFrom([]time.Duration{0, coldFor}).Draw(t, "first")))
			if rapid.Bool().Draw(t, "told") {
				anew.hear(entry("a", coldFor))
			}
			w.processes[number] = anew
			if anew.reason("a") != Reported {
				// What the first list hides is heard within MaxEntryAge.
				return
			}
		}
	}
}

// greed lets all gateways get and send all that they can, again and again.
func (w *world) greed(lasts time.Duration) {
	const tick = 50 * time.Millisecond
	for range lasts / tick {
		for _, each := range w.processes {
			for member := range w.members {
				w.way.ask(w, each, member, 64, 0, false)
			}
		}
		w.step(0)
		for _, each := range w.processes {
			for w.send(each, false) && len(w.sent) < 1<<12 {
			}
		}
		w.step(tick)
	}
}

// hoard lets a gateway get all that it can and sends it as late as it may.
func (w *world) hoard(rounds int) {
	for range rounds {
		for _, each := range w.processes {
			for member := range w.members {
				w.way.ask(w, each, member, 64, 0, false)
			}
		}
		w.step(quota.GrantLifetime - time.Millisecond)
	}
}

func TestFaultsAreDetected(t *testing.T) {
	for name, each := range map[string]struct {
		broken breakage
		play   func(w *world)
	}{
		"a grant is used after its lifetime": {grantOutlives, func(w *world) {
			w.hearAll()
			w.hoard(10)
			w.greed(time.Second)
		}},
		// The first list is old: the worker has become cold since, and its entry is on its way.
		"a process that starts takes its list at its word": {startsWarm, func(w *world) {
			for _, each := range w.processes {
				each.list(entry("a", 0))
			}
			w.greed(MaxEntryAge - time.Second)
		}},
		"workers are warm after a drain": {drainEndIsWarm, func(w *world) {
			for _, each := range w.processes {
				each.list(entry("a", 0))
				each.drain("zone-a")
			}
			w.step(time.Minute)
			for _, each := range w.processes {
				each.drain()
			}
			w.greed(coldFor - time.Second)
		}},
		"a stream is taken up without a pass": {resumesWithoutPass, func(w *world) {
			w.hearAll()
			w.greed(time.Second)
			for _, each := range w.processes {
				for range 10 {
					w.send(each, true)
				}
			}
		}},
		"a member is born full": {bornFull, func(w *world) {
			w.hearAll()
			for range 10 {
				w.greed(100 * time.Millisecond)
				for i := range w.members {
					w.members[i] = w.newMember()
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			whole := newWorld(grants{}, 5, 6, sound)
			whole.step(time.Minute)
			each.play(whole)
			require.NoError(t, whole.check())
			require.NotEmpty(t, whole.sent)
			broken := newWorld(grants{}, 5, 6, each.broken)
			broken.step(time.Minute)
			each.play(broken)
			require.Error(t, broken.check())
		})
	}
}
