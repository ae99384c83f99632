package session

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// plan turns a step into the program's next call. Each input names its program
// and call, so that a ledger's entry is matched to the call that made it.
func (r *run) plan(step workload.Step) callPlan {
	r.planned++
	request := caller.CallRequest{
		Number:                    r.planned,
		Kind:                      caller.CallTool,
		Target:                    step.Target,
		Adapter:                   step.Adapter,
		Repeatable:                step.Repeatable,
		ExpectedPauseMilliseconds: r.scaled(step.ExpectedPause).Milliseconds(),
	}
	marker := fmt.Sprintf("[%s call %d] ", r.program.Key, r.planned)
	if step.Kind == workload.KindModel {
		request.Kind = caller.CallModel
		request.MaxAnswerTokens = step.AnswerTokens
		request.Input = append(request.Input, r.firstPrompt()...)
	}
	request.Input = append(request.Input, marker...)
	request.Input = append(request.Input, step.Text()...)
	behavior := r.session.behavior
	return callPlan{
		request:    request,
		disconnect: behavior.Disconnect && step.Kind == workload.KindModel,
		repeat:     behavior.Repeat && step.Kind == workload.KindTool,
	}
}

// firstPrompt returns the text that starts the program's first prompt.
func (r *run) firstPrompt() []byte {
	if r.prompted {
		return nil
	}
	r.prompted = true
	var text []byte
	for _, prefix := range r.program.Prefixes {
		text = append(text, prefix.Text()...)
	}
	return append(text, r.inherited...)
}

func (s *Session) daemon() structs.NodeID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.home
}

func (s *Session) keepDaemon(daemon structs.NodeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.home = daemon
}
