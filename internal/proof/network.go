package proof

import "slices"

// network carries everything between nodes, callers and back ends.
type network struct {
	cluster *cluster
	flying  []flight
	cut     map[[2]string]bool
}

// flight is one message under way.
type flight struct {
	from, to string
	// once says that the message must not be doubled.
	once bool
	// notBefore is the first step at which it may arrive.
	notBefore int
	deliver   func()
}

const (
	// nearlyInOrder is among how many of the oldest messages most are chosen.
	nearlyInOrder = 6
	// One message to or from a back end in slowOneIn is late by up to slowSteps.
	slowOneIn = 10
	slowSteps = 8_000
)

func (w *network) send(from, to string, once bool, deliver func()) {
	f := flight{from: from, to: to, once: once, deliver: deliver}
	if once && !w.cluster.calm && w.cluster.chance(slowOneIn) {
		f.notBefore = w.cluster.report.Steps + w.cluster.random.IntN(slowSteps)
	}
	w.flying = append(w.flying, f)
}

func (w *network) block(one, other string) {
	if w.cut == nil {
		w.cut = map[[2]string]bool{}
	}
	w.cut[[2]string{one, other}] = true
	w.cut[[2]string{other, one}] = true
}

func (w *network) isCut(from, to string) bool { return w.cut[[2]string{from, to}] }

// deliver delivers a message: mostly one of the oldest, at times a recent one.
// One that is late or goes to a paused node waits, one across a cut is lost.
func (w *network) deliver() {
	if len(w.flying) == 0 {
		return
	}
	among := len(w.flying)
	if w.cluster.calm || !w.cluster.chance(8) {
		among = min(among, nearlyInOrder)
	}
	at := w.cluster.random.IntN(among)
	f := w.flying[at]
	if n := w.nodeOf(f.to); f.notBefore > w.cluster.report.Steps || (n != nil && n.paused) {
		w.flying = append(slices.Delete(w.flying, at, at+1), f)
		return
	}
	w.flying = slices.Delete(w.flying, at, at+1)
	if !w.isCut(f.from, f.to) {
		f.deliver()
	}
}

func (w *network) nodeOf(name string) *node {
	for _, n := range w.cluster.nodes {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// lose drops a message that is due. Late ones are left alone: they lie about
// for so long that hardly any would arrive.
func (w *network) lose() {
	if len(w.flying) == 0 {
		return
	}
	at := w.cluster.random.IntN(len(w.flying))
	if w.flying[at].notBefore <= w.cluster.report.Steps {
		w.flying = slices.Delete(w.flying, at, at+1)
	}
}

func (w *network) double() {
	if len(w.flying) == 0 {
		return
	}
	if f := anyOf(w.cluster, w.flying); !f.once {
		w.flying = append(w.flying, f)
	}
}
