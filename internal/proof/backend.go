package proof

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// engine is a model engine: streams by id, and memory held for programs.
type engine struct {
	cluster     *cluster
	name        string
	incarnation structs.Incarnation
	streams     map[string]*stream
	holds       map[structs.ProgramID]bool
}

type stream struct {
	done      bool
	result    streamResult
	listeners []func(streamResult)
}

type streamResult struct {
	text            string
	tokens          int64
	gone, cancelled bool
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

// restart loses all streams and memory; the engine is another incarnation.
func (e *engine) restart() {
	e.incarnation++
	e.streams = map[string]*stream{}
	e.holds = map[structs.ProgramID]bool{}
}

// generate opens the stream of the call's key.
func (e *engine) generate(call *program.Call, segments []string, listen func(streamResult)) {
	if call.TargetIncarnation != e.incarnation {
		listen(streamResult{gone: true})
		return
	}
	if _, exists := e.streams[call.DispatchKey]; !exists {
		opened := &stream{result: streamResult{text: digest(segments), tokens: promptTokens(segments) + answerTokens}}
		e.streams[call.DispatchKey] = opened
		e.holds[call.Program] = true
		e.cluster.checker.ranModel(call, segments, opened.result)
	}
	e.join(call, listen)
}

// join listens to a stream that is open or done.
func (e *engine) join(call *program.Call, listen func(streamResult)) {
	found, exists := e.streams[call.DispatchKey]
	switch {
	case !exists:
		listen(streamResult{gone: true})
	case found.done:
		listen(found.result)
	default:
		found.listeners = append(found.listeners, listen)
	}
}

// digest is the engine's answer: it depends on the whole prompt.
func digest(segments []string) string {
	sum := fnv.New64a()
	for _, segment := range segments {
		fmt.Fprintf(sum, "%d:%s", len(segment), segment)
	}
	return fmt.Sprintf("answer-%016x", sum.Sum64())
}

// step ends one stream.
func (e *engine) step() {
	for _, key := range slices.Sorted(maps.Keys(e.streams)) {
		if found := e.streams[key]; !found.done && (e.cluster.calm || e.cluster.chance(2)) {
			e.end(found)
			return
		}
	}
}

func (e *engine) end(found *stream) {
	found.done = true
	for _, listen := range found.listeners {
		listen(found.result)
	}
	found.listeners = nil
}

// cancel stops a stream. One that is done has its answer; one that the engine
// does not know counts as cancelled.
func (e *engine) cancel(key string) streamResult {
	found, exists := e.streams[key]
	if !exists {
		return streamResult{cancelled: true}
	}
	if !found.done {
		found.result.cancelled = true
		e.end(found)
	}
	return found.result
}

func (e *engine) holders() []structs.ProgramID { return slices.Sorted(maps.Keys(e.holds)) }

// toolService is a tool that cannot tell a repeat, save by what it ran.
type toolService struct {
	cluster *cluster
	results map[string]string
	serial  int
}

type toolResult struct {
	text    string
	refused bool
}

func newToolService(c *cluster) *toolService {
	return &toolService{cluster: c, results: map[string]string{}}
}

func (t *toolService) name() string { return "tool" }

// call runs a call, refuses it, or hangs before or after its effect.
func (t *toolService) call(call *program.Call, answer func(toolResult)) {
	switch t.cluster.random.IntN(12) {
	case 0:
		answer(toolResult{refused: true})
		return
	case 1:
		return
	}
	t.serial++
	text := fmt.Sprintf("result-%d of %s.%d", t.serial, call.Program, call.Number)
	t.results[call.DispatchKey] = text
	t.cluster.checker.ranTool(call, text)
	if t.cluster.random.IntN(8) > 0 {
		answer(toolResult{text: text})
	}
}
