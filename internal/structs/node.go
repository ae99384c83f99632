package structs

// NodeState is what the members of a cluster hold of a daemon.
type NodeState string

// The states of a daemon, from admission to removal.
const (
	NodeAlive   NodeState = "alive"
	NodeSuspect NodeState = "suspect"
	NodeLeaving NodeState = "leaving"
	NodeDead    NodeState = "dead"
)

// Node is one daemon as its peers know it.
type Node struct {
	ID          NodeID      `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Region      string      `json:"region"`
	Zone        ZoneName    `json:"zone"`
	// PeerAddress is IP:port of the daemon-to-daemon listener.
	PeerAddress string `json:"peerAddress"`
	// CallerAddress is IP:port of the callers' listener.
	CallerAddress string `json:"callerAddress"`
	HasDisk       bool   `json:"hasDisk"`
	// Memory is the incarnation whose journal the daemon has. A daemon with a
	// disk keeps it over restarts; one without has that of its present life.
	Memory Incarnation `json:"memory"`
	State  NodeState   `json:"state"`
}
