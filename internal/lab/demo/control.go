package demo

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// measureControl measures the idle deployment. Processor time and heap are
// those of the whole process, stand-ins included, divided by the daemons; they
// bound a daemon's share from above.
func (b *bench) measureControl(ctx context.Context) report.Control {
	daemons := float64(len(b.cluster.Members))
	bytesBefore, cpuBefore, began := b.peerBytes(), processorTime(), time.Now()
	pause.For(ctx, idleSpan)
	elapsed := time.Since(began).Seconds()
	cpu := processorTime() - cpuBefore
	sent := b.peerBytes() - bytesBefore
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return report.Control{
		CPUFraction:    cpu.Seconds() / elapsed / daemons,
		BytesPerSecond: float64(sent) / elapsed / daemons,
		HeapBytes:      float64(memory.HeapAlloc) / daemons,
	}
}

func (b *bench) peerBytes() int64 {
	total := int64(0)
	for _, member := range b.cluster.Members {
		total += b.network.PeerBytes(member.Spec.Node)
	}
	return total
}

// processorTime returns the process's time in user and kernel mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
