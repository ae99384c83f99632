package topology

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of daemons lie below the range that the kernel draws from for outgoing
// connections, so that a daemon finds its port free when it starts again.
const (
	lowestPort   = 20_000
	highestPort  = 32_000
	portAttempts = 1000
)

// ports finds free loopback ports.
type ports struct {
	random *rand.Rand
	taken  map[int]bool
}

func newPorts(seed uint64) *ports {
	return &ports{random: rand.New(rand.NewPCG(seed, rand.Uint64())), taken: map[int]bool{}}
}

// next returns a free address, IP:port. The error is a *NoFreePort.
func (p *ports) next() (string, error) {
	for range portAttempts {
		port := lowestPort + p.random.IntN(highestPort-lowestPort)
		if p.taken[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			continue
		}
		p.taken[port] = true
		return address, nil
	}
	return "", &NoFreePort{}
}

// NoFreePort reports that no loopback port was found free.
type NoFreePort struct{}

func (*NoFreePort) Error() string { return "no free loopback port" }
