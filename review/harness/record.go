package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	begun time.Time

	mutex sync.Mutex
	file  *os.File
	lines *bufio.Writer
}

// NewRecord begins a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{begun: time.Now(), file: file, lines: bufio.NewWriter(file)}, nil
}

// Log adds a line with the time since the record began.
func (r *Record) Log(format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, values...)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintln(r.lines, line)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines.Flush()
	r.file.Close()
}
