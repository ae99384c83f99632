// Package logsink takes log lines off the path of requests: lines go into a
// bounded queue without ever waiting, and one goroutine writes them. Lines that
// find the queue full are dropped and counted, and the count is logged.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// queueLines bounds the lines that wait.
	queueLines = 8192
	// maxLineBytes bounds a line; a longer one is cut.
	maxLineBytes = 4 << 10
	// batchBytes is the size from which no further line joins a write: a pipe takes
	// 4 KB whole.
	batchBytes  = 3 << 10
	reportEvery = time.Second
)

// Sink is a bounded queue of lines before a writer. It implements io.Writer.
type Sink struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	closing chan struct{}
}

// New returns a sink that writes to a writer, which may block.
func New(to io.Writer) *Sink { return newSink(to, queueLines) }

func newSink(to io.Writer, lines int) *Sink {
	sink := &Sink{
		to: to, lines: make(chan []byte, lines), done: make(chan struct{}), closing: make(chan struct{}),
	}
	go sink.run()
	return sink
}

// Install sends klog's lines to the sink.
func (s *Sink) Install() {
	klog.LogToStderr(false)
	klog.SetOutput(s)
}

// Write queues a line. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	kept := line
	if len(kept) > maxLineBytes {
		kept = append(append([]byte(nil), kept[:maxLineBytes-1]...), '\n')
	} else {
		kept = bytes.Clone(kept)
	}
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Busy reports whether so many lines wait that those of requests that ended well
// should give way.
func (s *Sink) Busy() bool { return len(s.lines) > cap(s.lines)/2 }

// Drop counts lines that were left out because the sink was busy.
func (s *Sink) Drop(lines int) { s.dropped.Add(uint64(lines)) }

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits, for at most the given time.
func (s *Sink) Close(within time.Duration) {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(within):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	var reported uint64
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-s.lines:
			s.flush(line)
		case <-report.C:
			if dropped := s.dropped.Load(); dropped > reported {
				fmt.Fprintf(s.to, "W log lines dropped event=%d count=%d total=%d\n", EventDropped, dropped-reported, dropped)
				reported = dropped
			}
		case <-s.closing:
			for len(s.lines) > 0 {
				s.flush(<-s.lines)
			}
			return
		}
	}
}

// flush writes a line and those that wait behind it.
func (s *Sink) flush(first []byte) {
	batch := first
	for len(s.lines) > 0 && len(batch) < batchBytes {
		batch = append(batch, <-s.lines...)
	}
	// There is no place left to tell of a failed write.
	_, _ = s.to.Write(batch)
}
