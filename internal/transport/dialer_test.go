package transport_test

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// keepBusy leaves this process one processor until the test ends, and takes it: each goroutine
// that waits is run late.
func keepBusy(t *testing.T) {
	const others = 4
	before := runtime.GOMAXPROCS(1)
	var stop atomic.Bool
	var busy sync.WaitGroup
	for range others {
		busy.Go(func() {
			for !stop.Load() {
			}
		})
	}
	t.Cleanup(func() {
		stop.Store(true)
		busy.Wait()
		runtime.GOMAXPROCS(before)
	})
}

// TestALateProcessDoesNotTimeOutItsPeers guards against connections that the system has opened
// and that count as not answered because this process was late itself.
func TestALateProcessDoesNotTimeOutItsPeers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialer := transport.NewDialer(transport.Options{DialTimeout: 5 * time.Millisecond, UserTimeout: time.Second})
	keepBusy(t)
	for range 20 {
		connection, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
		require.NoError(t, err)
		connection.Close()
	}
}

// fullListener returns the address of a listener whose queue is full.
func fullListener(t *testing.T) string {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { syscall.Close(descriptor) })
	require.NoError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(descriptor, 0))
	bound, err := syscall.Getsockname(descriptor)
	require.NoError(t, err)
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}
	for {
		filler, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			return address.String()
		}
		t.Cleanup(func() { filler.Close() })
	}
}

func TestAPeerThatDoesNotAnswerTimesOut(t *testing.T) {
	const timeout = 50 * time.Millisecond
	dialer := transport.NewDialer(transport.Options{DialTimeout: timeout, UserTimeout: time.Second})
	start := time.Now()
	_, err := dialer.DialContext(t.Context(), "tcp4", fullListener(t))
	var timedOut net.Error
	require.ErrorAs(t, err, &timedOut)
	require.True(t, timedOut.Timeout())
	require.GreaterOrEqual(t, time.Since(start), timeout)
	require.Less(t, time.Since(start), time.Second, "the system asks again after a second")
}

func TestADialOfARefusedConnectionSaysSo(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	dialer := transport.NewDialer(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second})
	_, err = dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// A machine's setting may grant less than is asked for.
func TestGrantedReceiveBufferIsNoMoreThanTheSystemAllows(t *testing.T) {
	const small, beyondAnySetting = 64 << 10, 1 << 30
	granted, err := transport.GrantedReceiveBuffer(small)
	require.NoError(t, err)
	require.Equal(t, small, granted)
	granted, err = transport.GrantedReceiveBuffer(beyondAnySetting)
	require.NoError(t, err)
	require.Positive(t, granted)
	require.Less(t, granted, beyondAnySetting)
}
