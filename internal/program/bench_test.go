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

// prose returns text of that many tokens that compresses about as speech does.
func prose(tokens int) []byte {
	words := []string{"cabinet", "door", "release", "the", "pack", "is", "stuck", "rider", "please", "nomination"}
	random := rand.New(rand.NewPCG(1, 2))
	var text []byte
	for len(text) < tokens*bytesPerToken {
		text = fmt.Appendf(text, "%s %x ", words[random.IntN(len(words))], random.IntN(1<<12))
	}
	return text[:tokens*bytesPerToken]
}

// driver commits decisions at once and counts the bytes of their records.
type driver struct {
	machine *Machine
	index   uint64
	bytes   int
	// entries are kept where keep is set.
	keep    bool
	entries [][]byte
}

func (d *driver) commit(decision Decision, err error) {
	if err != nil {
		panic(err)
	}
	data, err := proto.Marshal(decision.Batch())
	if err != nil {
		panic(err)
	}
	d.index++
	d.bytes += len(data)
	if d.keep {
		d.entries = append(d.entries, data)
	}
	d.machine.Apply(d.index, data)
}

func (d *driver) open(key string) structs.ProgramID {
	id := structs.NewProgramID(testDomain, testTenant, key)
	huge := structs.Amount{Tokens: 1 << 50, CostMicros: 1 << 50, Turns: 1 << 50, Milliseconds: 1 << 50}
	d.commit(d.machine.Open(testStart, OpenRequest{ID: id, Tenant: testTenant, Budget: huge, IdleTimeout: 1e5 * time.Hour}))
	return id
}

// turn carries one call through: accepted, started with a hold, finished.
func (d *driver) turn(id structs.ProgramID, number structs.CallNumber, input, answer []byte) {
	request := modelCall(id, number)
	request.Input = input
	d.commit(d.machine.Accept(testStart, request))
	d.commit(d.machine.Start(testStart, StartRequest{Program: id, Number: number, TargetID: "e", TargetIncarnation: 1,
		DispatchKey: fmt.Sprint(number), Reserve: testReserve(), MayCache: true}))
	d.commit(d.machine.Finish(testStart, FinishRequest{Program: id, Number: number, Attempt: 1, Answer: answer, Spent: testReserve()}))
}

// BenchmarkApply measures what a follower does for one turn of 500 tokens: three
// entries with four records.
func BenchmarkApply(b *testing.B) {
	text := prose(500)
	leader := &driver{machine: NewMachine(testShard), keep: true}
	id := leader.open("k")
	const turns = 10_000
	for number := range structs.CallNumber(turns) {
		leader.turn(id, number+1, text[200:], text[:200])
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

// fill gives the program a history of that size, in turns of at most 6,500
// tokens: 130 of them hold the longest one.
func (d *driver) fill(id structs.ProgramID, tokens int) structs.CallNumber {
	const tokensPerTurn = 6_500
	number := structs.CallNumber(0)
	for ; tokens > 0; tokens -= tokensPerTurn {
		number++
		text := prose(min(tokens, tokensPerTurn))
		d.turn(id, number, text[len(text)/8:], text[:len(text)/8])
	}
	return number
}

// BenchmarkTurn measures one turn of 500 tokens, on the leader with what every
// replica does, after histories of growing size.
func BenchmarkTurn(b *testing.B) {
	text := prose(500)
	for _, tokens := range historySizes {
		b.Run(fmt.Sprintf("history=%d", tokens), func(b *testing.B) {
			d := &driver{machine: NewMachine(testShard)}
			id := d.open("k")
			number := d.fill(id, tokens)
			d.bytes = 0
			b.ReportAllocs()
			for b.Loop() {
				number++
				d.turn(id, number, text[200:], text[:200])
			}
			b.ReportMetric(float64(d.bytes)/float64(b.N), "record-B/op")
		})
	}
}

// BenchmarkHistory measures reading the whole history, which becomes a prompt.
func BenchmarkHistory(b *testing.B) {
	for _, tokens := range historySizes {
		b.Run(fmt.Sprintf("history=%d", tokens), func(b *testing.B) {
			d := &driver{machine: NewMachine(testShard)}
			id := d.open("k")
			d.fill(id, tokens)
			b.SetBytes(int64(tokens) * bytesPerToken)
			for b.Loop() {
				if _, err := d.machine.History(id); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEncodedHistory measures the part of it that needs the machine.
func BenchmarkEncodedHistory(b *testing.B) {
	d := &driver{machine: NewMachine(testShard)}
	id := d.open("k")
	d.fill(id, 840_000)
	for b.Loop() {
		if _, err := d.machine.EncodedHistory(id); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDueTasks measures a look at the duties of a shard where ten programs
// become due, beside so many that are not.
func BenchmarkDueTasks(b *testing.B) {
	for _, programs := range []int{333, 10_000, 100_000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			d := &driver{machine: NewMachine(testShard)}
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
				now = now.Add(offerInterval)
				if duties := d.machine.DueTasks(now); len(duties) != 10 {
					b.Fatalf("%d duties", len(duties))
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

// BenchmarkSnapshot measures a snapshot of a shard with 333 programs of 10,000
// tokens each, and the memory that one program takes.
func BenchmarkSnapshot(b *testing.B) {
	d := &driver{machine: NewMachine(testShard)}
	before := heapBytes()
	for i := range 333 {
		d.fill(d.open(fmt.Sprint(i)), 10_000)
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
