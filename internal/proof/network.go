package proof

import "slices"

// network carries the messages between nodes, callers, engines and tools.
type network struct {
	cluster     *cluster
	inFlight    []inFlightMessage
	partitioned map[[2]string]bool
}

// inFlightMessage is a message that is not delivered yet.
type inFlightMessage struct {
	from, to string
	// isBackend marks a message to or from an engine or tool. It is never
	// duplicated.
	isBackend bool
	// earliestStep is the first step at which the message may be delivered.
	earliestStep int
	deliver      func()
}

const (
	// reorderWindow is the number of oldest messages from which most deliveries
	// are chosen.
	reorderWindow = 6
	// One in delayedOneIn messages to or from an engine or tool is delayed by
	// up to maxDelaySteps.
	delayedOneIn  = 10
	maxDelaySteps = 8_000
)

func (w *network) send(from, to string, isBackend bool, deliver func()) {
	message := inFlightMessage{from: from, to: to, isBackend: isBackend, deliver: deliver}
	if isBackend && !w.cluster.faultFree && w.cluster.oneIn(delayedOneIn) {
		message.earliestStep = w.cluster.report.Steps + w.cluster.random.IntN(maxDelaySteps)
	}
	w.inFlight = append(w.inFlight, message)
}

func (w *network) partition(a, b string) {
	if w.partitioned == nil {
		w.partitioned = map[[2]string]bool{}
	}
	w.partitioned[[2]string{a, b}] = true
	w.partitioned[[2]string{b, a}] = true
}

func (w *network) isPartitioned(from, to string) bool { return w.partitioned[[2]string{from, to}] }

// deliver delivers one message: mostly one of the oldest, sometimes any. A delayed
// message or one to a paused node stays in flight. One across a partition is lost.
func (w *network) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	candidates := len(w.inFlight)
	if w.cluster.faultFree || !w.cluster.oneIn(8) {
		candidates = min(candidates, reorderWindow)
	}
	index := w.cluster.random.IntN(candidates)
	message := w.inFlight[index]
	if n := w.findNode(message.to); message.earliestStep > w.cluster.report.Steps || (n != nil && n.paused) {
		w.inFlight = append(slices.Delete(w.inFlight, index, index+1), message)
		return
	}
	w.inFlight = slices.Delete(w.inFlight, index, index+1)
	if !w.isPartitioned(message.from, message.to) {
		message.deliver()
	}
}

func (w *network) findNode(name string) *node {
	for _, n := range w.cluster.nodes {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// dropMessage drops a random message unless it is delayed. Delayed messages stay in
// flight so long that otherwise hardly any would be delivered.
func (w *network) dropMessage() {
	if len(w.inFlight) == 0 {
		return
	}
	index := w.cluster.random.IntN(len(w.inFlight))
	if w.inFlight[index].earliestStep <= w.cluster.report.Steps {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
}

func (w *network) duplicateMessage() {
	if len(w.inFlight) == 0 {
		return
	}
	if message := randomElement(w.cluster, w.inFlight); !message.isBackend {
		w.inFlight = append(w.inFlight, message)
	}
}
