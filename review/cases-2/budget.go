package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	retentionSeconds = 60
	// budgetPrograms is how many programs the case plays, budgetTurns how many turns the budget of
	// each holds, and turnEvents how many events a turn has.
	budgetPrograms, budgetTurns = 24, 20
	turnEvents                  = 2
	mostOfTurn                  = turnEvents * stride
	programBudget               = budgetTurns * mostOfTurn
	// comesAgainAfter and comesAgainLast are when programs that were stopped come again. Both lie within
	// RetentionS of the program's last turn.
	comesAgainAfter = 38 * time.Second
	comesAgainLast  = 74 * time.Second
	// downTime is how long a killed store machine is away.
	downTime = 2800 * time.Millisecond
	// comeBack is when a client comes back after a 503.
	comeBack = 300 * time.Millisecond
	// path is that of the route whose turns are not kept, and keptPath of the one whose are.
	path, keptPath = "/pufi791/2f", "/lohu930/2f"
)

// configure writes the workers and the configuration: one model service with two routes.
func (s *system) configure() []*modelWorker {
	var workers []*modelWorker
	for i, zone := range s.zones {
		worker := newModelWorker(fmt.Sprintf("i-%d", i))
		s.store.putWorker(worker.id, "llm", worker.address(), zone, 12)
		workers = append(workers, worker)
	}
	route := func(name, prefix string, stateful bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "streaming", "TimeoutMs": 4000, "TargetLatencyMs": 250, "TargetGapMs": 200,
			"Priority": 0, "Service": "llm", "MaxAttempts": 1, "Stateful": stateful, "RetentionS": float64(retentionSeconds), "Sticky": true, "Resumable": false,
		}
	}
	s.store.put("config", "main", map[string]any{
		"Version": 7, "Routes": []any{route("r-plain", "/pufi791/", false), route("r-kept", "/lohu930/", true)},
		"Services": []any{map[string]any{
			"Name": "llm", "HealthPath": "/health", "MaxConns": 170,
			"Engine": map[string]any{"Slots": 12, "KvCapacity": 139361, "Stride": stride},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return workers
}

// program is one agent program of the case.
type program struct {
	name   string
	tokens int
	// refused is set once a turn was answered with 402.
	refused bool
}

// turn takes one turn of the program.
func (p *program) turn(play *play, gateway string) answer {
	seen := ask(gateway, path, newID(), "input", map[string]string{
		"X-Program-Id": p.name, "X-Session-Id": p.name, "X-Finish-Ms": "120000",
		"X-Token-Budget": strconv.Itoa(programBudget), "X-Token-Usage": "10," + strconv.Itoa(mostOfTurn),
	})
	p.tokens += seen.events * stride
	p.refused = seen.status == 402
	play.record.line("program %s turn %s: status %d, %d events, %d tokens so far, error %v", p.name, seen.id, seen.status, seen.events, p.tokens, seen.err)
	if seen.status != 200 {
		play.record.line("program %s turn %s: %s", p.name, seen.id, strings.TrimSpace(seen.text))
	}
	return seen
}

// playBudget lets programs be stopped and come again within RetentionS of their last turn. With
// trouble, one store machine is killed before they come again for the last time.
func playBudget(play *play) (broken bool, err error) {
	s := newSystem(play.folder, play.binary, []string{"wien-a", "wien-b", "baumgarten"}, 2, play.record)
	defer s.close()
	for _, worker := range s.configure() {
		defer worker.close()
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	first, second := s.find("front-wien-a-1").address, s.find("front-wien-a-2").address
	programs := make([]*program, budgetPrograms)
	for i := range programs {
		programs[i] = &program{name: fmt.Sprintf("3fa81c%02d", i)}
	}
	began := time.Now()
	play.record.line("the programs run until one turn of their budget is left")
	var running sync.WaitGroup
	for _, each := range programs {
		running.Go(func() {
			for range budgetTurns - 1 {
				each.turn(play, first)
			}
		})
	}
	running.Wait()
	if took := time.Since(began); took > 6*time.Second {
		return false, fmt.Errorf("this machine is too slow: the first turns took %v", took)
	}
	time.Sleep(time.Until(began.Add(comesAgainAfter)))
	play.record.line("the programs come again for one turn each, through the same daemon")
	for _, each := range programs {
		each.turn(play, first)
	}
	for _, each := range programs {
		if each.tokens != programBudget {
			return false, fmt.Errorf("program %s got %d tokens of %d before the disruption", each.name, each.tokens, programBudget)
		}
	}
	time.Sleep(time.Until(began.Add(comesAgainLast)))
	if play.trouble {
		replica := s.find("store-wien-a-1")
		play.record.line("%s is killed for %v", replica.node, downTime)
		replica.signal(syscall.SIGKILL)
		time.AfterFunc(downTime, func() { _ = replica.start() })
	}
	play.record.line("the programs come again, through another daemon of the zone, and ask for turns until they get a 402")
	for _, each := range programs {
		running.Go(func() {
			for range budgetTurns {
				switch seen := each.turn(play, second); seen.status {
				case 402:
					return
				case 503:
					// Clients come back after the time that they are told, or so.
					time.Sleep(comeBack)
				}
			}
		})
	}
	running.Wait()
	if play.trouble {
		// The killed machine is started again before the processes are ended.
		time.Sleep(downTime)
	}
	for _, each := range programs {
		bound := programBudget + mostOfTurn
		play.record.line("program %s: %d tokens were handed out, the budget is %d, the bound %d, last answered with 402: %t", each.name, each.tokens, programBudget, bound, each.refused)
		broken = broken || each.tokens > bound
	}
	return broken, nil
}
