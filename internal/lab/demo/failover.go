package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// failoverPrograms is the number of programs that are opened; they spread
	// over all domains, and by their keys over the shards. Those whose shard the
	// victim leads are watched.
	failoverPrograms = 96
	failoverPeriod   = 20 * time.Millisecond
	// failoverSpan is how long programs are watched after the fault began.
	failoverSpan    = 4 * time.Second
	failoverTimeout = 15 * time.Second
	failoverAttempt = 10 * time.Second
	failoverWarmUp  = 300 * time.Millisecond
	failoverBatch   = 20
)

// failoverWatch measures how long programs have no answer after a fault of one
// daemon. It asks the other daemons alone, so that what it sees is the time to
// another leader, not the caller's own search for a daemon.
type failoverWatch struct {
	bench    *bench
	others   []*topology.Member
	mutex    sync.Mutex
	programs []watchedProgram
}

type watchedProgram struct {
	id     structs.ProgramID
	tenant structs.TenantID
}

// prepareFailover opens the programs to watch, before the fault.
func (b *bench) prepareFailover(ctx context.Context, victim *topology.Member) (*failoverWatch, error) {
	watch := &failoverWatch{bench: b}
	for _, member := range b.cluster.Members {
		if member != victim {
			watch.others = append(watch.others, member)
		}
	}
	key := time.Now().UnixNano()
	watch.each(failoverPrograms, func(number int) { watch.open(ctx, number, fmt.Sprintf("failover-%d-%d", key, number)) })
	return watch, watch.keepLedBy(ctx, victim.Spec.Node)
}

// keepLedBy drops all programs but those whose shard the victim leads.
func (w *failoverWatch) keepLedBy(ctx context.Context, victim structs.NodeID) error {
	leaders, err := w.bench.operator.leaders(ctx)
	if err != nil {
		return err
	}
	w.programs = slices.DeleteFunc(w.programs, func(program watchedProgram) bool {
		shard, err := program.id.Shard()
		return err != nil || leaders[shard] != victim
	})
	w.bench.progress("watching %d programs of shards that %s leads; %d shards have a leader", len(w.programs), victim, len(leaders))
	return nil
}

func (w *failoverWatch) open(ctx context.Context, number int, key string) {
	programs := w.bench.options.Declarations.Programs
	declared := programs[number%len(programs)]
	opened := watchedProgram{tenant: declared.Tenants[0]}
	limited, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	status, err := w.ask(number, opened).Open(limited, caller.OpenRequest{Program: declared.Name, Key: key})
	if err != nil {
		return
	}
	opened.id = status.ID
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.programs = append(w.programs, opened)
}

// each runs work for all numbers below count, some at a time.
func (w *failoverWatch) each(count int, work func(number int)) {
	places := make(chan struct{}, failoverBatch)
	var group sync.WaitGroup
	for number := range count {
		places <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			work(number)
			<-places
		}()
	}
	group.Wait()
}

// ask returns a client of one of the other daemons, chosen by number.
func (w *failoverWatch) ask(number int, program watchedProgram) *client.Client {
	return w.bench.callerClient(w.others[number%len(w.others)], topology.Token(string(program.tenant)))
}

// measure asks for every program's status again and again while fault is
// brought about, and records the longest time that each had no answer.
func (w *failoverWatch) measure(ctx context.Context, into *report.Distribution, fault func() error) error {
	watched, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	var until atomic.Int64
	var group sync.WaitGroup
	for number := range w.programs {
		group.Add(1)
		go func() {
			defer group.Done()
			into.Record(w.longestGap(watched, number, w.programs[number], &until))
		}()
	}
	pause.For(ctx, failoverWarmUp)
	until.Store(time.Now().Add(failoverSpan).UnixNano())
	err := fault()
	group.Wait()
	w.endPrograms(ctx)
	return err
}

// longestGap asks until the time that until holds, once it is set, and until
// the last question was answered. The time before the first answer does not
// count.
func (w *failoverWatch) longestGap(ctx context.Context, number int, program watchedProgram, until *atomic.Int64) time.Duration {
	var longest time.Duration
	var last time.Time
	for attempt := number; ctx.Err() == nil; attempt++ {
		limited, cancel := context.WithTimeout(ctx, failoverAttempt)
		_, err := w.ask(attempt, program).Status(limited, program.id)
		cancel()
		answered := err == nil
		if answered && !last.IsZero() {
			longest = max(longest, time.Since(last))
		}
		if answered {
			last = time.Now()
		}
		end := until.Load()
		if answered && end > 0 && last.UnixNano() > end {
			return longest
		}
		pause.For(ctx, failoverPeriod)
	}
	return max(longest, time.Since(last))
}

// endPrograms ends the programs. One that is not ended here ends by its idle
// deadline.
func (w *failoverWatch) endPrograms(ctx context.Context) {
	w.each(len(w.programs), func(number int) {
		limited, cancel := context.WithTimeout(ctx, failoverTimeout)
		defer cancel()
		_, _ = w.ask(number, w.programs[number]).End(limited, w.programs[number].id)
	})
}
