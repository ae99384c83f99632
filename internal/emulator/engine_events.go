package emulator

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// maxEvents bounds the cache events that an engine keeps.
const maxEvents = 4096

// cacheEvent says how many tokens of a holder are cached after a change.
type cacheEvent struct {
	sequence uint64
	at       time.Time
	stored   bool
	holder   structs.ProgramID
	tokens   int64
}

// eventLog keeps the last cache events of one incarnation.
type eventLog struct {
	incarnation structs.Incarnation
	sequence    uint64
	events      []cacheEvent
}

func (l *eventLog) restart(incarnation structs.Incarnation) {
	*l = eventLog{incarnation: incarnation}
}

// add numbers an event; a lost one leaves a gap in the numbers.
func (l *eventLog) add(event cacheEvent, lost bool) {
	l.sequence++
	if lost {
		return
	}
	event.sequence = l.sequence
	l.events = append(l.events, event)
	if len(l.events) > 2*maxEvents {
		l.events = append([]cacheEvent(nil), l.events[maxEvents:]...)
	}
}

// after returns the events after a number that happened by the horizon.
func (l *eventLog) after(sequence uint64, horizon time.Time) []cacheEvent {
	var found []cacheEvent
	for _, event := range l.events {
		if event.sequence > sequence && !event.at.After(horizon) {
			found = append(found, event)
		}
	}
	return found
}

// cacheChanged notes a change of a holder's cache. The caller has the lock.
func (e *Engine) cacheChanged(holder structs.ProgramID, stored bool, tokens int64) {
	event := cacheEvent{at: time.Now(), stored: stored, holder: holder, tokens: tokens}
	e.events.add(event, e.dice.hit(e.Faults.EventLoss.Get()))
}
