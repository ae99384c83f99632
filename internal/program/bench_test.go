package program

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const bytesPerToken = 4

var historySizes = []int{1_000, 10_000, 100_000, 840_000}

// sampleText returns text of this many tokens with about the compression ratio
// of natural language.
func sampleText(tokens int) []byte {
	words := []string{"cabinet", "door", "release", "the", "pack", "is", "stuck", "rider", "please", "nomination"}
	random := rand.New(rand.NewPCG(1, 2))
	var text []byte
	for len(text) < tokens*bytesPerToken {
		text = fmt.Appendf(text, "%s %x ", words[random.IntN(len(words))], random.IntN(1<<12))
	}
	return text[:tokens*bytesPerToken]
}

// benchDriver commits decisions immediately and counts the bytes of their
// records.
type benchDriver struct {
	machine *Machine
	index   uint64
	bytes   int
	// entries holds the committed entries if keepEntries is set.
	keepEntries bool
	entries     [][]byte
}

func (d *benchDriver) commit(decision Decision, err error) {
	if err != nil {
		panic(err)
	}
	data, err := proto.Marshal(decision.Batch())
	if err != nil {
		panic(err)
	}
	d.index++
	d.bytes += len(data)
	if d.keepEntries {
		d.entries = append(d.entries, data)
	}
	d.machine.Apply(d.index, data)
}

func (d *benchDriver) open(key string) structs.ProgramID {
	id := structs.NewProgramID(testDomain, testTenant, key)
	huge := structs.Amount{Tokens: 1 << 50, CostMicros: 1 << 50, Turns: 1 << 50, Milliseconds: 1 << 50}
	d.commit(d.machine.Open(testStart, OpenRequest{ID: id, Tenant: testTenant, Budget: huge, IdleTimeout: 1e5 * time.Hour}))
	return id
}

// runCall runs one call to its end: accepted, started with a hold, finished.
func (d *benchDriver) runCall(id structs.ProgramID, number structs.CallNumber, input, answer []byte) {
	request := modelCall(id, number)
	request.Input = input
	d.commit(d.machine.Accept(testStart, request))
	d.commit(d.machine.Start(testStart, StartRequest{Program: id, Number: number, TargetID: "e", TargetIncarnation: 1,
		DispatchKey: fmt.Sprint(number), Reserve: testReserve(), MayCache: true}))
	d.commit(d.machine.Finish(testStart, FinishRequest{Program: id, Number: number, Attempt: 1, Answer: answer, Spent: testReserve()}))
}

// BenchmarkApply measures the work of a follower for one turn of 500 tokens:
// three entries with four records.
func BenchmarkApply(b *testing.B) {
	text := sampleText(500)
	leader := &benchDriver{machine: NewMachine(testShard), keepEntries: true}
	id := leader.open("k")
	const turns = 10_000
	for number := range structs.CallNumber(turns) {
		leader.runCall(id, number+1, text[200:], text[:200])
	}
	b.ReportAllocs()
	next, follower := 0, NewMachine(testShard)
	for b.Loop() {
		for range 3 {
			if next == len(leader.entries) {
				next, follower = 0, NewMachine(testShard)
			}
			next++
			follower.Apply(uint64(next), leader.entries[next-1])
		}
	}
}

// fillHistory gives the program a history of this size, in turns of at most
// 6,500 tokens. The longest history takes 130 turns.
func (d *benchDriver) fillHistory(id structs.ProgramID, tokens int) structs.CallNumber {
	const tokensPerTurn = 6_500
	number := structs.CallNumber(0)
	for ; tokens > 0; tokens -= tokensPerTurn {
		number++
		text := sampleText(min(tokens, tokensPerTurn))
		d.runCall(id, number, text[len(text)/8:], text[:len(text)/8])
	}
	return number
}

// BenchmarkTurn measures one turn of 500 tokens after histories of growing
// size: the leader's work including what every replica does.
func BenchmarkTurn(b *testing.B) {
	text := sampleText(500)
	for _, tokens := range historySizes {
		b.Run(fmt.Sprintf("history=%d", tokens), func(b *testing.B) {
			d := &benchDriver{machine: NewMachine(testShard)}
			id := d.open("k")
			number := d.fillHistory(id, tokens)
			d.bytes = 0
			b.ReportAllocs()
			for b.Loop() {
				number++
				d.runCall(id, number, text[200:], text[:200])
			}
			b.ReportMetric(float64(d.bytes)/float64(b.N), "record-B/op")
		})
	}
}

// BenchmarkHistory measures reading and decoding the whole history, which
// becomes a prompt.
func BenchmarkHistory(b *testing.B) {
	for _, tokens := range historySizes {
		b.Run(fmt.Sprintf("history=%d", tokens), func(b *testing.B) {
			d := &benchDriver{machine: NewMachine(testShard)}
			id := d.open("k")
			d.fillHistory(id, tokens)
			b.SetBytes(int64(tokens) * bytesPerToken)
			for b.Loop() {
				if _, err := d.machine.History(id); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEncodedHistory measures the part of reading a history that needs
// access to the machine.
func BenchmarkEncodedHistory(b *testing.B) {
	d := &benchDriver{machine: NewMachine(testShard)}
	id := d.open("k")
	d.fillHistory(id, 840_000)
	for b.Loop() {
		if _, err := d.machine.EncodedHistory(id); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDueTasks measures DueTasks for a shard with ten due programs among
// many that are not due.
func BenchmarkDueTasks(b *testing.B) {
	for _, programs := range []int{333, 10_000, 100_000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			d := &benchDriver{machine: NewMachine(testShard)}
			for i := range programs {
				d.open(fmt.Sprint(i))
			}
			for i := range 10 {
				d.commit(d.machine.Accept(testStart, modelCall(structs.NewProgramID(testDomain, testTenant, fmt.Sprint(i)), 1)))
				d.commit(d.machine.Start(testStart, StartRequest{Number: 1, DispatchKey: "k",
					Program: structs.NewProgramID(testDomain, testTenant, fmt.Sprint(i))}))
			}
			now := testStart
			for b.Loop() {
				now = now.Add(taskRetryInterval)
				if tasks := d.machine.DueTasks(now); len(tasks) != 10 {
					b.Fatalf("got %d due tasks, want 10", len(tasks))
				}
			}
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkSnapshot measures the snapshot of a shard with 333 programs of
// 10,000 tokens each, and the memory that one program takes.
func BenchmarkSnapshot(b *testing.B) {
	d := &benchDriver{machine: NewMachine(testShard)}
	before := heapBytes()
	for i := range 333 {
		d.fillHistory(d.open(fmt.Sprint(i)), 10_000)
	}
	perProgram := float64(heapBytes()-before) / 333
	for b.Loop() {
		data, err := d.machine.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/333, "snapshot-B/program")
	}
	b.ReportMetric(perProgram, "heap-B/program")
}
