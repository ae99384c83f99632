package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// probedProgram is a program that no tenant ever opened.
const probedProgram structs.ProgramID = "00000000-00000000000000000000000000000000"

// probes ask every daemon, as a caller, which credentials it takes.
type probes struct {
	bench   *bench
	mutex   sync.Mutex
	clients map[probeKey]*client.Client
}

type probeKey struct {
	daemon     structs.NodeID
	credential string
}

func newProbes(b *bench) *probes {
	return &probes{bench: b, clients: map[probeKey]*client.Client{}}
}

// run samples every daemon until ctx ends.
func (p *probes) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, member := range p.bench.cluster.Members {
		group.Add(1)
		go func() {
			defer group.Done()
			for pause.For(ctx, probePeriod) {
				p.sample(ctx, member)
			}
		}()
	}
	group.Wait()
}

// sample finds the newest accepted change that the daemon acts on.
func (p *probes) sample(ctx context.Context, member *topology.Member) {
	at := time.Now()
	changes := p.bench.operator.acceptedChanges()
	for i := len(changes) - 1; i >= 0; i-- {
		known, err := p.ask(ctx, member, changes[i].credential)
		if err != nil {
			return
		}
		if known {
			p.bench.addSample(promise.Sample{Daemon: member.Spec.Node, At: at, Version: changes[i].version})
			return
		}
	}
}

// probeTimeout bounds one question; a daemon that is paused or down gives no
// sample.
const probeTimeout = 10 * time.Second

// ask reports whether the daemon takes the credential. The error is the
// daemon's failure to say so.
func (p *probes) ask(ctx context.Context, member *topology.Member, credential string) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.client(member, credential).Status(limited, probedProgram)
	if failure.IsType(err, "unauthenticated") {
		return false, nil
	}
	if failure.IsType(err, "unknown_program") {
		return true, nil
	}
	return false, err
}

func (p *probes) client(member *topology.Member, credential string) *client.Client {
	key := probeKey{daemon: member.Spec.Node, credential: credential}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	made, known := p.clients[key]
	if !known {
		made = p.bench.callerClient(member, topology.Token(credential))
		p.clients[key] = made
	}
	return made
}

func (b *bench) addSample(sample promise.Sample) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.evidence.Samples = append(b.evidence.Samples, sample)
}

// NotReady reports a daemon that did not serve in time.
type NotReady struct {
	Daemon structs.NodeID
	// Cause is what it answered last; nil where it did not know the first
	// configuration.
	Cause error
}

func (e *NotReady) Error() string {
	return fmt.Sprintf("daemon %s not ready in time: %v", e.Daemon, e.Cause)
}

// Unwrap returns the last answer.
func (e *NotReady) Unwrap() error { return e.Cause }

// awaitReady returns once every daemon acts on the first configuration.
func (p *probes) awaitReady(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	first := p.bench.operator.acceptedChanges()[0].credential
	waiting := append([]*topology.Member(nil), p.bench.cluster.Members...)
	var last error
	for len(waiting) > 0 {
		known, err := p.ask(limited, waiting[0], first)
		if known {
			waiting = waiting[1:]
			continue
		}
		if limited.Err() == nil {
			last = err
		}
		if !pause.For(limited, releasePoll) {
			return &NotReady{Daemon: waiting[0].Spec.Node, Cause: last}
		}
	}
	return nil
}
