package transporttest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// EarlyUploadBytes is more than what the buffers of a connection to ServeEarly hold, so that it is still being
	// written when its answer comes.
	EarlyUploadBytes = 8 << 20
	// earlyBufferBytes is about half of what the system holds of an upload at each end.
	earlyBufferBytes = 256 << 10
	// readOnFor bounds how long a peer reads on after its answer.
	readOnFor = 5 * time.Second
	// endReadWithin bounds how long a write that has failed waits for the reader.
	endReadWithin = time.Second
)

// EarlyAnswer is an answer that a peer sends before it has read the body of its request.
type EarlyAnswer struct {
	// Sent is what is sent of the answer, and End how the connection ends.
	Sent string
	End  ConnectionEnd
	// After is the time between the two.
	After time.Duration
}

// ServeEarly starts a listener that reads the head of a request of each connection, and no more, and answers it.
func ServeEarly(t testing.TB, answer EarlyAnswer) (address string) {
	return ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		if tcp, isTCP := connection.(*net.TCPConn); isTCP {
			// Best effort: the system holds more without it.
			_ = tcp.SetReadBuffer(earlyBufferBytes)
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(connection, answer.Sent); err != nil {
			return
		}
		time.Sleep(answer.After)
		if answer.End == ReadOn {
			readOn(connection, request)
			return
		}
		endConnection(connection, answer.End)
	})
}

// readOn ends a peer's side of a connection and reads the rest of its request.
func readOn(connection net.Conn, request *http.Request) {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(readOnFor)) != nil {
		return
	}
	// A caller that goes ends it.
	_, _ = io.Copy(io.Discard, request.Body)
}

// ResetToWriter opens connections to a peer that sends a number of bytes and then resets them while a request is being
// written. The system tells of a reset once: here always the writer, and the reader finds the end of the data.
type ResetToWriter struct {
	// SentBytes is what the peer sends before the reset.
	SentBytes int
}

// DialContext opens a connection.
func (d *ResetToWriter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	connection := opened.(*net.TCPConn)
	if err := connection.SetWriteBuffer(earlyBufferBytes); err != nil {
		return nil, err
	}
	return &resetToWriterConn{Conn: connection, unread: d.SentBytes, writeFailed: make(chan struct{}), endRead: make(chan struct{})}, nil
}

type resetToWriterConn struct {
	net.Conn
	// unread is how much of what the peer sends was not read.
	unread int
	// writeFailed is closed once a write has failed, or the connection was closed, and endRead once it was read after that.
	writeFailed, endRead chan struct{}
	failOnce, readOnce   sync.Once
}

func (c *resetToWriterConn) Read(data []byte) (int, error) {
	if c.unread <= 0 {
		<-c.writeFailed
		defer c.readOnce.Do(func() { close(c.endRead) })
	}
	count, err := c.Conn.Read(data)
	c.unread -= count
	return count, err
}

// Write lets the reader find the end before it reports its failure: who is told of one may close the connection.
func (c *resetToWriterConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	if err == nil {
		return count, nil
	}
	c.fail()
	select {
	case <-c.endRead:
	case <-time.After(endReadWithin):
	}
	return count, err
}

func (c *resetToWriterConn) Close() error {
	c.fail()
	return c.Conn.Close()
}

// SyscallConn gives access to the socket.
func (c *resetToWriterConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *resetToWriterConn) fail() { c.failOnce.Do(func() { close(c.writeFailed) }) }
