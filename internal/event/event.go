// Package event defines the project's numbered log events and writes them
// through klog as key-value lines. docs/EVENTS.md lists every event; a test
// keeps the two equal. A number, once given, keeps its meaning.
package event

import (
	"fmt"
	"sort"
	"sync"

	"k8s.io/klog/v2"
)

// Severity is how an operator should take an event.
type Severity string

// The severities, from routine to urgent.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Event is one kind of log line.
type Event struct {
	// Number is stable; each package has a range of its own.
	Number   int
	Severity Severity
	// Message is the constant text of the line.
	Message string
	// Action is what an operator does about it; empty for routine events.
	Action string
}

var (
	registryMutex sync.Mutex
	registry      = map[int]Event{}
)

// Define registers an event. It is called from package variables; a number
// used twice is a programming error and stops the program at start.
func Define(number int, severity Severity, message, action string) Event {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	if earlier, taken := registry[number]; taken {
		panic(fmt.Sprintf("event %d defined twice: %q and %q", number, earlier.Message, message))
	}
	defined := Event{Number: number, Severity: severity, Message: message, Action: action}
	registry[number] = defined
	return defined
}

// All returns every defined event, by number.
func All() []Event {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	events := make([]Event, 0, len(registry))
	for _, defined := range registry {
		events = append(events, defined)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Log writes the event with alternating keys and values.
func (e Event) Log(keysAndValues ...any) {
	const callDepth = 1
	pairs := append([]any{"event", e.Number}, keysAndValues...)
	switch e.Severity {
	case Error:
		klog.ErrorSDepth(callDepth, nil, e.Message, pairs...)
	case Warning:
		// klog has no structured warning: the severity is a key of the line.
		klog.InfoSDepth(callDepth, e.Message, append(pairs, "severity", "warning")...)
	default:
		klog.InfoSDepth(callDepth, e.Message, pairs...)
	}
}
