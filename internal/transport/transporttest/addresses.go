package transporttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and lastPort bound the ports that are handed out. They lie below those that systems
	// give to outgoing connections and to listeners that name no port.
	firstPort, lastPort = 10_000, 32_000
	// loopbackNetworks is below which the second and third number of an address are drawn.
	loopbackNetworks = 254
)

// Addresses hands out addresses for processes that are told where to listen. They lie on a loopback
// address of their own, so that nobody else takes one before its process listens, or between two of
// its lives. It is safe for concurrent use.
type Addresses struct {
	ip string

	mutex sync.Mutex
	port  int
}

// NewAddresses draws a loopback address.
func NewAddresses() *Addresses {
	ip := fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(loopbackNetworks), 1+rand.IntN(loopbackNetworks))
	return &Addresses{ip: ip, port: firstPort}
}

// IP returns the loopback address.
func (a *Addresses) IP() string { return a.ip }

// Next returns an IP:port that nobody listens on and that was not handed out before. The error is a
// *NoFreeAddress.
func (a *Addresses) Next() (string, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for a.port < lastPort {
		a.port++
		address := fmt.Sprintf("%s:%d", a.ip, a.port)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address, nil
	}
	return "", &NoFreeAddress{IP: a.ip}
}

// NoFreeAddress reports that each port was handed out or is taken.
type NoFreeAddress struct {
	// IP is the loopback address.
	IP string
}

func (e *NoFreeAddress) Error() string {
	return fmt.Sprintf("no port of %s between %d and %d is free", e.IP, firstPort, lastPort)
}
