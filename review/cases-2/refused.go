package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// deskWorkers, deskSlots and deskQueue are the workers of the case, and deskWork how long one works on a request:
	// together they bear deskWorkers * deskSlots / deskWork = 173 requests a second.
	deskWorkers, deskSlots, deskQueue = 3, 6, 24
	deskWork                          = 104 * time.Millisecond
	// baseRate is the usual traffic in requests a second, and burstFactor the traffic of the burst, as in the site file.
	baseRate, burstFactor = 150, 1.7
	// longTimeout and shortTimeout are TimeoutMs of the route before and after the operator's change, two and a half times
	// the work of an idle worker.
	longTimeout, shortTimeout = 3000, 250
	deskPath                  = "/pule252/2f"
	// The times from the start of traffic on.
	burstAt   = 6 * time.Second
	burstFor  = 6 * time.Second
	changeAt  = 11900 * time.Millisecond
	wipeAt    = 15 * time.Second
	wipedFor  = time.Second
	recoverS  = 12 * time.Second
	trafficIs = wipeAt + wipedFor + recoverS + 8*time.Second
)

// deskWorker is a stand-in of a sound worker: it works on deskSlots requests at once, queues deskQueue more and
// turns others away with X-Not-Executed.
type deskWorker struct {
	slots, places chan struct{}
}

func newDeskWorker() *deskWorker {
	return &deskWorker{slots: make(chan struct{}, deskSlots), places: make(chan struct{}, deskSlots+deskQueue)}
}

func (w *deskWorker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	response.Header().Set("X-Request-Id", id)
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		response.Header().Set("X-Not-Executed", "1")
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-request.Context().Done():
		return
	}
	time.Sleep(deskWork)
	response.Header().Set("X-Server-Stamp", "stamp-"+id)
	_, _ = io.WriteString(response, "ok")
}

// deskRoute writes a configuration with a time-out of the route.
func (s *system) deskRoute(version, timeoutMs int) {
	s.store.put("config", "main", map[string]any{
		"Version": version, "Routes": []any{map[string]any{
			"Name": "r-desk", "Host": host, "PathPrefix": "/pule252/", "Kind": "unsafe", "TimeoutMs": timeoutMs, "TargetLatencyMs": 250, "Priority": 2, "Service": "desk", "MaxAttempts": 1,
		}},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConns": 110}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// tally counts the requests of a part of the day.
type tally struct {
	mutex        sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(seen answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.statuses == nil {
		t.statuses = make(map[int]int)
	}
	t.sent++
	t.statuses[seen.status]++
	if seen.status == http.StatusOK && seen.whole {
		t.served++
	}
}

// playRefused shortens the time-out of a route. With trouble, a burst is under way then. Afterwards one store
// machine loses its disk, and the service is judged from RecoverS after the machine's return on.
func playRefused(play *play) (broken bool, err error) {
	s := newSystem(play.folder, play.binary, []string{"wien-a", "wien-b", "baumgarten"}, 3, play.record)
	defer s.close()
	for i := range deskWorkers {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		server := &http.Server{Handler: newDeskWorker()}
		go server.Serve(listener)
		defer server.Close()
		s.store.putWorker(fmt.Sprintf("i-%d", i), "desk", listener.Addr().String(), s.zones[i%len(s.zones)], deskSlots)
	}
	s.deskRoute(7, longTimeout)
	if err := s.startAll(); err != nil {
		return false, err
	}
	var gateways []string
	for _, each := range s.processes {
		if each.role == "gateway" {
			gateways = append(gateways, each.address)
		}
	}
	began := time.Now()
	time.AfterFunc(changeAt, func() {
		s.deskRoute(9, shortTimeout)
		play.record.line("the operator changes TimeoutMs from %d to %d", longTimeout, shortTimeout)
	})
	wiped := s.find("store-wien-b-1")
	time.AfterFunc(wipeAt, func() {
		wiped.signal(syscall.SIGKILL)
		_ = os.RemoveAll(wiped.dataFolder)
		_ = os.MkdirAll(wiped.dataFolder, folderMode)
		play.record.line("%s loses its disk", wiped.node)
	})
	time.AfterFunc(wipeAt+wipedFor, func() {
		_ = wiped.start()
		play.record.line("%s is back with an empty disk", wiped.node)
	})
	before, after, seconds := &tally{}, &tally{}, make(map[int]*tally)
	var requests sync.WaitGroup
	next := began
	for i := 0; time.Since(began) < trafficIs; i++ {
		at := time.Since(began)
		rate := float64(baseRate)
		if play.trouble && at >= burstAt && at < burstAt+burstFor {
			rate *= burstFactor
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		time.Sleep(time.Until(next))
		second := seconds[int(at.Seconds())]
		if second == nil {
			second = &tally{}
			seconds[int(at.Seconds())] = second
		}
		requests.Go(func() {
			seen := ask(gateways[i%len(gateways)], deskPath, newID(), "hi", nil)
			second.add(seen)
			switch {
			case at < wipeAt:
				before.add(seen)
			case at > wipeAt+wipedFor+recoverS:
				after.add(seen)
			}
		})
	}
	requests.Wait()
	for i := range int(trafficIs.Seconds()) {
		if second := seconds[i]; second != nil {
			play.record.line("second %d of traffic: %d sent, %d served, statuses %v", i, second.sent, second.served, second.statuses)
		}
	}
	play.record.line("before the final fault %d of %d requests were served", before.served, before.sent)
	play.record.line("later than RecoverS after the machine was back %d of %d requests were served (statuses %v)", after.served, after.sent, after.statuses)
	s.recordRefusals()
	if 4*before.served < before.sent {
		return false, fmt.Errorf("too little was served before the final fault")
	}
	return 4*after.served < after.sent, nil
}

// recordRefusals copies the last reason that each gateway gave for a refusal.
func (s *system) recordRefusals() {
	for _, each := range s.processes {
		if each.role != "gateway" {
			continue
		}
		seen := ask(each.address, deskPath, newID(), "hi", nil)
		s.record.line("%s, asked once more: status %d, %q", filepath.Base(each.node), seen.status, seen.text)
	}
}
