package quorum

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/requestkey"
)

const (
	// quarantineSpreadWait is how long a replica may wait until other callers have new records. It is
	// longer than minPollInterval, in which a caller may have no call in progress.
	quarantineSpreadWait = 150 * time.Millisecond
	// quarantinePollInterval is the time between two polls of a replica while it has new records.
	quarantinePollInterval = 5 * time.Millisecond
	// quarantineCallMargin is how much longer than quarantineSpreadWait a call may take.
	quarantineCallMargin = 100 * time.Millisecond
	// maxQuarantinePeers bounds the replicas whose positions are kept, of which some may no longer exist.
	maxQuarantinePeers = 4096
)

// quarantineExchange keeps a process's quarantine records and those of replicas the same.
type quarantineExchange struct {
	table *quarantine.Table
	// caller identifies this process to replicas.
	caller uint64
	rounds spreadRounds
	// answeredAt is when any replica last answered; nil before that. firstAnswer is closed at the first
	// answer.
	answeredAt  atomic.Pointer[time.Time]
	firstAnswer chan struct{}

	mutex sync.Mutex
	// peers are the positions of the replicas, by address.
	peers map[string]*quarantinePeer
}

// quarantinePeer is up to where a replica and this process have each other's records.
type quarantinePeer struct {
	received, sent quarantine.Cursor
	// called is set once this process has called the replica.
	called bool
}

// beginsWith reports whether this process has never called a replica before.
func (e *quarantineExchange) beginsWith(address string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	peer := e.peer(address)
	begins := !peer.called
	peer.called = true
	return begins
}

// answered records that a replica has answered with all records that this process lacked.
func (e *quarantineExchange) answered(now time.Time) {
	if e.answeredAt.Swap(&now) == nil {
		close(e.firstAnswer)
	}
}

func newQuarantineExchange(table *quarantine.Table) *quarantineExchange {
	return &quarantineExchange{table: table, caller: rand.Uint64() | 1, peers: make(map[string]*quarantinePeer), firstAnswer: make(chan struct{})}
}

// peer returns the positions of a replica. The mutex must be held.
func (e *quarantineExchange) peer(address string) *quarantinePeer {
	found := e.peers[address]
	if found == nil {
		if len(e.peers) >= maxQuarantinePeers {
			clear(e.peers)
		}
		found = &quarantinePeer{}
		e.peers[address] = found
	}
	return found
}

// request returns a request with the records that a replica lacks, and the cursor that it then has.
func (e *quarantineExchange) request(address string) (*replicav1.QuarantineRequest, quarantine.Cursor) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	peer := e.peer(address)
	records, cursor := e.table.Since(peer.sent)
	return &replicav1.QuarantineRequest{Caller: e.caller, Known: encodeCursor(peer.received), Records: EncodeQuarantineRecords(records)}, cursor
}

// delivered records that a replica has this process's records up to a cursor.
func (e *quarantineExchange) delivered(address string, cursor quarantine.Cursor) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.peer(address).sent = cursor
}

// apply merges the records of a replica. It reports whether there were any.
func (e *quarantineExchange) apply(address string, update *replicav1.QuarantineUpdate) bool {
	if update == nil {
		return false
	}
	e.table.Merge(DecodeQuarantineRecords(update.Records)...)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.peer(address).received = DecodeQuarantineCursor(update.Current)
	return len(update.Records) > 0
}

// EncodeQuarantineRecords returns the wire format of records.
func EncodeQuarantineRecords(records []quarantine.Record) []*replicav1.QuarantineRecord {
	encoded := make([]*replicav1.QuarantineRecord, 0, len(records))
	for _, record := range records {
		message := &replicav1.QuarantineRecord{
			Key: record.Key[:], Generation: record.Generation, Ends: record.Ends, AgeMs: uint32(record.Age.Milliseconds()),
		}
		for _, id := range record.Unordered {
			if id != 0 {
				message.Unordered = append(message.Unordered, id)
			}
		}
		encoded = append(encoded, message)
	}
	return encoded
}

// DecodeQuarantineRecords returns the records that can be read: those with a key of the right size.
func DecodeQuarantineRecords(encoded []*replicav1.QuarantineRecord) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(encoded))
	for _, each := range encoded {
		if len(each.Key) != requestkey.Bytes {
			continue
		}
		record := quarantine.Record{
			Key: requestkey.Key(each.Key), Generation: each.Generation, Ends: each.Ends, Age: time.Duration(each.AgeMs) * time.Millisecond,
		}
		copy(record.Unordered[:], each.Unordered)
		records = append(records, record)
	}
	return records
}

func encodeCursor(cursor quarantine.Cursor) *replicav1.QuarantineCursor {
	return &replicav1.QuarantineCursor{Source: cursor.Source, Revision: cursor.Revision}
}

// DecodeQuarantineCursor returns a cursor from its wire format.
func DecodeQuarantineCursor(encoded *replicav1.QuarantineCursor) quarantine.Cursor {
	return quarantine.Cursor{Source: encoded.GetSource(), Revision: encoded.GetRevision()}
}

// NewQuarantineUpdate returns the records of a table that a caller lacks, or nil if it has them all.
func NewQuarantineUpdate(table *quarantine.Table, request *replicav1.QuarantineRequest) *replicav1.QuarantineUpdate {
	if request == nil {
		return nil
	}
	records, current := table.Since(DecodeQuarantineCursor(request.Known))
	if len(records) == 0 {
		return nil
	}
	return &replicav1.QuarantineUpdate{Current: encodeCursor(current), Records: EncodeQuarantineRecords(records)}
}

// addQuarantine adds this process's quarantine records to a request for updates. The returned function
// processes the answer of the replica.
func (p *DirectoryPoller) addQuarantine(address string, request *replicav1.DirectoryRequest) (answered func(*replicav1.DirectoryResponse) (changed bool)) {
	exchange := p.quarantine
	if exchange == nil {
		return func(*replicav1.DirectoryResponse) bool { return false }
	}
	if exchange.beginsWith(address) {
		// The poll may wait for other updates.
		go p.confirmQuarantine(address)
	}
	message, cursor := exchange.request(address)
	request.Quarantine = message
	return func(response *replicav1.DirectoryResponse) bool {
		exchange.answered(p.now())
		exchange.delivered(address, cursor)
		changed := exchange.apply(address, response.Quarantine)
		if changed {
			go p.confirmQuarantine(address)
		}
		return changed
	}
}

// QuarantineAnsweredWithin reports whether a replica has told this process within the limit which requests
// have ended workers. It takes no lock.
func (p *DirectoryPoller) QuarantineAnsweredWithin(limit time.Duration) bool {
	answeredAt := p.quarantine.answeredAt.Load()
	return answeredAt != nil && p.now().Sub(*answeredAt) < limit
}

// FirstQuarantineAnswer returns a channel that is closed when a replica has told it for the first time.
func (p *DirectoryPoller) FirstQuarantineAnswer() <-chan struct{} { return p.quarantine.firstAnswer }

// SpreadQuarantine sends this process's new quarantine records to all replicas, which pass them on at
// once. The returned channel is closed when all reachable processes have them, or after a short time.
func (p *DirectoryPoller) SpreadQuarantine() <-chan struct{} {
	return p.quarantine.rounds.join(p.spreadQuarantine)
}

func (p *DirectoryPoller) spreadQuarantine() {
	var calls sync.WaitGroup
	var failed sync.Map
	sources := p.options.Sources()
	for _, source := range sources {
		calls.Go(func() {
			if err := p.callQuarantine(context.Background(), source.Address, quarantineSpreadWait); err != nil {
				failed.Store(source.Address, err.Error())
			}
		})
	}
	calls.Wait()
	failed.Range(func(address, cause any) bool {
		eventQuarantineNotSpread.Log("replica", address, "cause", cause)
		return true
	})
}

// confirmQuarantine tells a replica up to where this process has its records, and gets those that it lacks.
// If that fails, the next poll does both.
func (p *DirectoryPoller) confirmQuarantine(address string) {
	_ = p.callQuarantine(context.Background(), address, 0)
}

// callQuarantine sends a replica the records that it lacks and the position up to which this process has
// its records. The call lasts until the replica has spread the records, or wait has passed.
func (p *DirectoryPoller) callQuarantine(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+quarantineCallMargin)
	defer cancel()
	message, cursor := p.quarantine.request(address)
	message.SpreadWithinMs = uint32(wait.Milliseconds())
	response, err := p.client.ReplicaClient(address).Quarantine(ctx, connect.NewRequest(message))
	if err != nil {
		return err
	}
	p.quarantine.answered(p.now())
	p.quarantine.delivered(address, cursor)
	if p.quarantine.apply(address, response.Msg.Update) {
		go p.confirmQuarantine(address)
	}
	if wait > 0 && !response.Msg.Spread {
		return &notSpread{Replica: address}
	}
	return nil
}

// spreadRounds runs one round of calls at a time. Records that arrive during a round are sent together
// in the next one.
type spreadRounds struct {
	mutex   sync.Mutex
	running bool
	next    chan struct{}
}

// join returns a channel that is closed at the end of a round that begins after this call.
func (s *spreadRounds) join(round func()) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	joined := s.next
	if !s.running {
		s.running = true
		go s.run(round)
	}
	return joined
}

func (s *spreadRounds) run(round func()) {
	for {
		s.mutex.Lock()
		current := s.next
		s.next, s.running = nil, current != nil
		s.mutex.Unlock()
		if current == nil {
			return
		}
		round()
		close(current)
	}
}
