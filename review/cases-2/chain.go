package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// lines is how many lines of turns the case plays, earlyTurns how many turns each has at first,
	// and earlyPause the time between them.
	lines, earlyTurns = 8, 12
	earlyPause        = 400 * time.Millisecond
	// lateTurnAt and lastTurnAt are when each line goes on. Both lie within RetentionS of the turn before.
	lateTurnAt = 40 * time.Second
	lastTurnAt = 82 * time.Second
)

// playChain lets lines of kept turns go on, each turn within RetentionS of the one before. With
// trouble, one store machine is killed before the last turns.
func playChain(play *play) (broken bool, err error) {
	s := newSystem(play.folder, play.binary, []string{"taichung-a", "taichung-b", "changhua", "nantou"}, 2, play.record)
	defer s.close()
	for _, worker := range s.configure() {
		defer worker.close()
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	first, second := s.find("front-taichung-a-1").address, s.find("front-taichung-a-2").address
	latest := make([]answer, lines)
	turn := func(line int, gateway string) answer {
		header := map[string]string{"X-Program-Id": fmt.Sprintf("77d2%02d", line), "X-Session-Id": fmt.Sprintf("77d2%02d", line), "X-Finish-Ms": "120000"}
		if latest[line].id != "" {
			header["X-Previous-Turn"] = latest[line].id
		}
		seen := ask(gateway, keptPath, newID(), fmt.Sprintf("input of line %d. ", line), header)
		play.record.line("line %d turn %s after %q: status %d, whole %t, error %v", line, seen.id, latest[line].id, seen.status, seen.whole, seen.err)
		return seen
	}
	began := time.Now()
	advance := func(gateway string) error {
		for line := range lines {
			seen := turn(line, gateway)
			if seen.status != 200 || !seen.whole {
				return fmt.Errorf("line %d was answered with %d before the disruption", line, seen.status)
			}
			latest[line] = seen
		}
		return nil
	}
	for range earlyTurns {
		if err := advance(first); err != nil {
			return false, err
		}
		time.Sleep(earlyPause)
	}
	time.Sleep(time.Until(began.Add(lateTurnAt)))
	if err := advance(first); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(lastTurnAt)))
	if play.trouble {
		replica := s.find("store-taichung-a-1")
		play.record.line("%s is killed for %v", replica.node, downTime)
		replica.signal(syscall.SIGKILL)
		time.AfterFunc(downTime, func() { _ = replica.start() })
	}
	for line := range lines {
		named := latest[line]
		seen := turn(line, second)
		age := time.Since(named.endedAt)
		if (seen.status == 404 || seen.status == 410) && age < retentionSeconds*time.Second {
			play.record.line("line %d: %d for a turn that was answered whole %.1f s before: %s", line, seen.status, age.Seconds(), seen.text)
			broken = true
		}
	}
	if play.trouble {
		time.Sleep(downTime)
	}
	return broken, nil
}
