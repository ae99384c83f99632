package main

import (
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// killedAt is when all store machines are killed, from the first start of the machines on, and backAfter how
	// long they are away.
	killedAt, backAfter = time.Second, 500 * time.Millisecond
	// firstTurnsFor is how long first turns are asked for, from the start of traffic on.
	firstTurnsFor = 45 * time.Second
	firstTurnGap  = 100 * time.Millisecond
)

// playFirstStart lets programs begin after the first start of the system. With trouble, the processes of all store
// machines are killed at one moment, a second after they were started, and come back half a second later.
func playFirstStart(play *play) (broken bool, err error) {
	s := newSystem(play.folder, play.binary, []string{"wien-a", "wien-b", "baumgarten"}, 2, play.record)
	defer s.close()
	for _, worker := range s.configure() {
		defer worker.close()
	}
	if play.trouble {
		time.AfterFunc(killedAt, func() {
			s.eachReplica(func(replica *process) { replica.signal(syscall.SIGKILL) })
			play.record.line("all store machines are killed")
		})
		time.AfterFunc(killedAt+backAfter, func() {
			if err := s.endBootstrap(); err != nil {
				play.record.line("settings: %v", err)
			}
			s.eachReplica(func(replica *process) { _ = replica.start() })
			play.record.line("all store machines are back")
		})
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	gateways := []string{s.find("front-wien-a-1").address, s.find("front-wien-a-2").address}
	sent, served, statuses, reason := 0, 0, make(map[int]int), ""
	for began := time.Now(); time.Since(began) < firstTurnsFor; time.Sleep(firstTurnGap) {
		id := newID()
		seen := ask(gateways[sent%len(gateways)], keptPath, id, "input", map[string]string{
			"X-Program-Id": id, "X-Session-Id": id, "X-Finish-Ms": "10000",
			"X-Token-Budget": strconv.Itoa(programBudget), "X-Token-Usage": "10," + strconv.Itoa(mostOfTurn),
		})
		sent++
		statuses[seen.status]++
		if seen.status == 200 && seen.whole {
			served++
		} else {
			reason = strings.TrimSpace(seen.text)
		}
	}
	play.record.line("%d of %d first turns were served, statuses %v, last reason %q", served, sent, statuses, reason)
	return served == 0, nil
}

// eachReplica does something with each replica.
func (s *system) eachReplica(do func(*process)) {
	for _, each := range s.processes {
		if each.role == "replica" {
			do(each)
		}
	}
}
