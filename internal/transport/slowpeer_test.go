package transport

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// writeBound is the write deadline of these tests, and late is longer than it.
	writeBound, late = 500 * time.Millisecond, 800 * time.Millisecond
	// longMessageBytes is more than the kernel buffers for a peer that does not read.
	longMessageBytes = 8 << 20
	chunkBytes       = 16 << 10
)

// lateWriter is a connection whose process is late once, between the setting of a deadline and a write.
type lateWriter struct {
	*net.TCPConn
	// writes counts the writes; the one with the number lateAt is late.
	writes, lateAt int
	beforeLate     func()
}

func (w *lateWriter) Write(data []byte) (int, error) {
	w.writes++
	if w.writes == w.lateAt {
		w.beforeLate()
		time.Sleep(late)
	}
	return w.TCPConn.Write(data)
}

// connectToSlowPeer returns both ends of a connection whose kernel buffers are small.
func connectToSlowPeer(t *testing.T) (*slowPeerConn, *lateWriter, *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	peer, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		peer.Close()
		accepted.Close()
	})
	require.NoError(t, peer.(*net.TCPConn).SetReadBuffer(2*chunkBytes))
	require.NoError(t, accepted.(*net.TCPConn).SetWriteBuffer(chunkBytes))
	writer := &lateWriter{TCPConn: accepted.(*net.TCPConn)}
	return &slowPeerConn{Conn: writer}, writer, peer.(*net.TCPConn)
}

// writeChunks writes a long message in chunks, each with a deadline of its own.
func writeChunks(connection *slowPeerConn) (written int, err error) {
	chunk := make([]byte, chunkBytes)
	for err == nil && written < longMessageBytes {
		if err = connection.SetWriteDeadline(time.Now().Add(writeBound)); err != nil {
			return written, err
		}
		var count int
		count, err = connection.Write(chunk)
		written += count
	}
	return written, err
}

// A peer that reads was disconnected as stalled by a process that was late itself.
func TestAPeerThatReadsIsNotDisconnectedForItsWritersLateness(t *testing.T) {
	t.Parallel()
	connection, writer, peer := connectToSlowPeer(t)
	writer.lateAt = 10
	writer.beforeLate = func() {
		require.Eventually(t, func() bool {
			count, err := UnacknowledgedBytes(connection)
			return err == nil && count == 0
		}, time.Minute, time.Millisecond)
	}
	read := make(chan int64, 1)
	go func() {
		count, _ := io.Copy(io.Discard, peer)
		read <- count
	}()
	written, err := writeChunks(connection)
	require.NoError(t, err)
	require.NoError(t, connection.CloseWrite())
	require.Equal(t, longMessageBytes, written)
	require.EqualValues(t, longMessageBytes, <-read)
}

func TestAPeerThatReadsNothingIsDisconnectedAtItsDeadline(t *testing.T) {
	t.Parallel()
	connection, writer, _ := connectToSlowPeer(t)
	written, err := writeChunks(connection)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Less(t, written, longMessageBytes)
	chunks := written/chunkBytes + 1
	require.Equal(t, chunks, writer.writes, "no write got its time twice")
}

// A deadline that has passed when it is set ends a write in progress and each later one.
func TestAPassedWriteDeadlineIsFinal(t *testing.T) {
	t.Parallel()
	connection, _, _ := connectToSlowPeer(t)
	require.NoError(t, connection.SetWriteDeadline(time.Now().Add(time.Hour)))
	failed := make(chan error, 1)
	go func() {
		_, err := connection.Write(make([]byte, longMessageBytes))
		failed <- err
	}()
	require.Eventually(t, func() bool {
		count, err := UnacknowledgedBytes(connection)
		return err == nil && count > 0
	}, time.Minute, time.Millisecond)
	require.NoError(t, connection.SetWriteDeadline(time.Unix(1, 0)))
	require.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
	_, err := connection.Write(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestHasUnreadAndIsQuiet(t *testing.T) {
	t.Parallel()
	connection, _, peer := connectToSlowPeer(t)
	require.True(t, IsQuiet(connection))
	require.False(t, HasUnread(connection))
	_, err := peer.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return HasUnread(connection) }, time.Minute, time.Millisecond)
	require.False(t, IsQuiet(connection))
	_, err = connection.Read(make([]byte, 1))
	require.NoError(t, err)
	require.True(t, IsQuiet(connection))
	require.NoError(t, peer.Close())
	require.Eventually(t, func() bool { return HasUnread(connection) }, time.Minute, time.Millisecond)
	require.NoError(t, connection.Close())
	require.False(t, HasUnread(connection))
	require.False(t, IsQuiet(connection))
}
