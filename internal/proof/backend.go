package proof

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// engine is a simulated model engine. It holds streams by dispatch key and memory
// for programs.
type engine struct {
	cluster      *cluster
	name         string
	incarnation  structs.Incarnation
	streams      map[string]*stream
	heldPrograms map[structs.ProgramID]bool
}

type stream struct {
	done      bool
	result    streamResult
	listeners []func(streamResult)
}

type streamResult struct {
	text                     string
	tokens                   int64
	unknownStream, cancelled bool
}

func newEngine(c *cluster, name string) *engine {
	e := &engine{cluster: c, name: name}
	e.restart()
	return e
}

func (c *cluster) engine(name string) *engine {
	for _, e := range c.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// restart loses all streams and memory and starts a new incarnation.
func (e *engine) restart() {
	e.incarnation++
	e.streams = map[string]*stream{}
	e.heldPrograms = map[structs.ProgramID]bool{}
}

// openStream opens a stream for the dispatch key of the call, or attaches to it if
// it exists.
func (e *engine) openStream(call *program.Call, segments []string, listen func(streamResult)) {
	if call.TargetIncarnation != e.incarnation {
		listen(streamResult{unknownStream: true})
		return
	}
	if _, exists := e.streams[call.DispatchKey]; !exists {
		opened := &stream{result: streamResult{text: answerForPrompt(segments), tokens: promptTokens(segments) + answerTokens}}
		e.streams[call.DispatchKey] = opened
		e.heldPrograms[call.Program] = true
		e.cluster.checker.recordModelExecution(call, segments, opened.result)
	}
	e.attach(call, listen)
}

// attach registers a listener for the result of a stream. If the stream is
// finished, the listener is called immediately.
func (e *engine) attach(call *program.Call, listen func(streamResult)) {
	found, exists := e.streams[call.DispatchKey]
	switch {
	case !exists:
		listen(streamResult{unknownStream: true})
	case found.done:
		listen(found.result)
	default:
		found.listeners = append(found.listeners, listen)
	}
}

// answerForPrompt returns the answer of the engine, which depends on the complete
// prompt.
func answerForPrompt(segments []string) string {
	sum := fnv.New64a()
	for _, segment := range segments {
		fmt.Fprintf(sum, "%d:%s", len(segment), segment)
	}
	return fmt.Sprintf("answer-%016x", sum.Sum64())
}

// finishOneStream finishes the first open stream, or, while faults are injected, a
// random one or none.
func (e *engine) finishOneStream() {
	for _, key := range slices.Sorted(maps.Keys(e.streams)) {
		if found := e.streams[key]; !found.done && (e.cluster.faultFree || e.cluster.oneIn(2)) {
			e.finishStream(found)
			return
		}
	}
}

func (e *engine) finishStream(found *stream) {
	found.done = true
	for _, listen := range found.listeners {
		listen(found.result)
	}
	found.listeners = nil
}

// cancelStream cancels a stream and returns its result. A finished stream keeps its
// answer. An unknown stream counts as cancelled.
func (e *engine) cancelStream(key string) streamResult {
	found, exists := e.streams[key]
	if !exists {
		return streamResult{cancelled: true}
	}
	if !found.done {
		found.result.cancelled = true
		e.finishStream(found)
	}
	return found.result
}

func (e *engine) heldProgramIDs() []structs.ProgramID {
	return slices.Sorted(maps.Keys(e.heldPrograms))
}

// toolService is a simulated tool. It does not detect repeated calls, but reports
// the result of a call that it executed.
type toolService struct {
	cluster        *cluster
	results        map[string]string
	executionCount int
}

type toolResult struct {
	text     string
	rejected bool
}

func newToolService(c *cluster) *toolService {
	return &toolService{cluster: c, results: map[string]string{}}
}

func (t *toolService) name() string { return "tool" }

// call executes a call or rejects it. In some cases it does not answer, before or
// after executing the call.
func (t *toolService) call(call *program.Call, answer func(toolResult)) {
	switch t.cluster.random.IntN(12) {
	case 0:
		answer(toolResult{rejected: true})
		return
	case 1:
		return
	}
	t.executionCount++
	text := fmt.Sprintf("result-%d of %s.%d", t.executionCount, call.Program, call.Number)
	t.results[call.DispatchKey] = text
	t.cluster.checker.recordToolExecution(call, text)
	if t.cluster.random.IntN(8) > 0 {
		answer(toolResult{text: text})
	}
}
