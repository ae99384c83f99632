package transport

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

const (
	// MaxResponseHeadBytes bounds the head of a response that net/http reads.
	MaxResponseHeadBytes = 64 << 10
	// MaxResponseBytes bounds one response that is read whole.
	MaxResponseBytes = 16 << 20
	// MaxLineBytes bounds one line of a response that is read line by line.
	MaxLineBytes = 4 << 20
	// smallMessageBytes of each response take no memory that is counted.
	smallMessageBytes = 64 << 10
	// maxReadBytes bounds what is read at once before it is counted: who reads a message whole offers buffers that grow
	// with it.
	maxReadBytes = 64 << 10
	// maxHeldBytes bounds what all responses to one kind of peer hold together beyond smallMessageBytes each.
	maxHeldBytes = 32 << 20
)

var eventMessageTooLarge = event.Define(2921, event.Warning, "a response or a call exceeds its bound and was broken off", "Check the named peer: it sends bytes without end, or more than is read.")

var metricRefusedMessages = telemetry.Define(telemetry.Definition{
	Name: "refused_messages_total", Kind: telemetry.KindCounter, Unit: "messages", Labels: []string{"peers", "bound"},
	Help: "Responses and calls of other processes that were broken off, as they exceeded a bound.",
})

// The values of label bound of metricRefusedMessages.
const (
	boundOfOne = "one"
	boundOfAll = "all"
)

// Inflow bounds what this process holds of what one kind of peer sends, for one message and for all under way: of the
// responses to its calls, or of calls to it. It is safe for concurrent use.
type Inflow struct {
	memory     *flowcontrol.Budget
	maxMessage int64
	maxLine    int
	// majorVersion is that of HTTP in which responses come.
	majorVersion int
	// beyondOne and beyondAll count the messages refused at the bound of one and of all.
	beyondOne, beyondAll atomic.Int64
}

// NewInflow returns the bounds of a kind of peer.
func NewInflow() *Inflow {
	return &Inflow{memory: flowcontrol.NewBudget(maxHeldBytes, time.Now), maxMessage: MaxResponseBytes, maxLine: MaxLineBytes, majorVersion: http1}
}

// ExpectHTTP2 has the clients take responses in HTTP/2 alone, in place of HTTP/1. It must be called before NewClient.
func (i *Inflow) ExpectHTTP2() { i.majorVersion = http2 }

// LimitMessage sets the bound of one message, in bytes, in place of MaxResponseBytes. It must be called before the first
// call.
func (i *Inflow) LimitMessage(bytes int64) { i.maxMessage = bytes }

// LimitHeld sets what all messages hold together beyond smallMessageBytes each, in bytes. It must be called before
// the first call.
func (i *Inflow) LimitHeld(bytes int64) { i.memory = flowcontrol.NewBudget(bytes, time.Now) }

// Held returns how many bytes are held beyond what each message may hold uncounted.
func (i *Inflow) Held() int64 { return i.memory.Used() }

// RegisterMetrics registers the counters of refused messages. peers names the kind of peer.
func (i *Inflow) RegisterMetrics(registry *telemetry.Registry, peers string) {
	register := func(bound string, count *atomic.Int64) {
		labels := prometheus.Labels{"peers": peers, "bound": bound}
		registry.CounterFunc(metricRefusedMessages, labels, func() float64 { return float64(count.Load()) })
	}
	register(boundOfOne, &i.beyondOne)
	register(boundOfAll, &i.beyondAll)
}

// holding counts what one message holds.
type holding struct {
	inflow      *Inflow
	reservation *flowcontrol.Reservation
	peer        string
	limit       int64
	held        int64
}

func (i *Inflow) newHolding(peer string, limit int64) *holding {
	return &holding{inflow: i, reservation: i.memory.NewReservation(nil), peer: peer, limit: limit}
}

// add counts more bytes. It fails if they exceed the bound of the message or the memory for all.
func (h *holding) add(bytes int) error {
	before := h.held
	h.held += int64(bytes)
	if h.held > h.limit {
		return h.refuse(&h.inflow.beyondOne, &flowcontrol.MessageTooLarge{Limit: h.limit})
	}
	counted := int(max(0, h.held-smallMessageBytes) - max(0, before-smallMessageBytes))
	if counted > 0 && !h.reservation.TryAcquire(counted) {
		return h.refuse(&h.inflow.beyondAll, &flowcontrol.BudgetExhausted{Wanted: counted, Limit: h.reservation.Limit()})
	}
	return nil
}

// refuse gives the counted bytes back, so that the message makes no other one exceed the bound.
func (h *holding) refuse(refused *atomic.Int64, cause error) error {
	h.release()
	refused.Add(1)
	eventMessageTooLarge.Log("peer", h.peer, "cause", cause.Error())
	return cause
}

// release gives all counted bytes back.
func (h *holding) release() {
	h.held = 0
	h.reservation.ReleaseAll()
}

// NewClient returns a client that sends through httpClient and reads responses within bounds: the body of a response
// fails once it exceeds one; closing it gives its memory back.
func (i *Inflow) NewClient(httpClient *http.Client) *http.Client {
	bounded := *httpClient
	bounded.Transport = &boundedTransport{next: &checkedTransport{next: httpClient.Transport, majorVersion: i.majorVersion}, inflow: i}
	return &bounded
}

// boundedTransport counts what is held of the bodies of responses.
type boundedTransport struct {
	next   *checkedTransport
	inflow *Inflow
}

// CloseIdleConnections closes those of next: http.Client looks for this method.
func (t *boundedTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// RoundTrip makes one call.
func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	held := t.inflow.newHolding(request.URL.Host, t.inflow.maxMessage)
	if stream := streamBodyOf(request.Context()); stream != nil {
		stream.holding.Store(held)
	}
	response.Body = &heldBody{ReadCloser: response.Body, holding: held}
	return response, nil
}

// heldBody counts what was read of a body until it is closed.
type heldBody struct {
	io.ReadCloser
	holding *holding
	// exceeded is set once a bound was exceeded: nothing more is read, also by those who drain a body.
	exceeded error
}

func (b *heldBody) Read(data []byte) (int, error) {
	if b.exceeded != nil {
		return 0, b.exceeded
	}
	count, err := b.ReadCloser.Read(data[:min(len(data), maxReadBytes)])
	if b.exceeded = b.holding.add(count); b.exceeded != nil {
		return 0, b.exceeded
	}
	return count, err
}

func (b *heldBody) Close() error {
	b.holding.release()
	return b.ReadCloser.Close()
}

// Lines reads a response line by line, within bounds. It is used by one goroutine.
type Lines struct {
	reader  *bufio.Reader
	holding *holding
}

// NewLines returns a reader of the lines of a peer's response. Close must be called.
func (i *Inflow) NewLines(peer string, from io.Reader) *Lines {
	return &Lines{reader: bufio.NewReader(from), holding: i.newHolding(peer, int64(i.maxLine))}
}

// Next returns the next line with its line feed. It is valid until the next call.
func (l *Lines) Next() ([]byte, error) {
	l.holding.release()
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		if exceeded := l.holding.add(len(part)); exceeded != nil {
			return nil, exceeded
		}
		line = append(line, part...)
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

// Close gives the memory of the last line back.
func (l *Lines) Close() { l.holding.release() }
