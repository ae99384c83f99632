// Package config holds the configuration in force in a daemon. A few daemons of
// each zone read it from the platform; the others learn it from their peers as
// deltas. A version in force is never replaced by a lower one, and a daemon
// without a version that the platform or a peer vouches for has none in force.
package config

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/klauspost/compress/zstd"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// logLength is the number of deltas kept for peers that fell behind: at
	// 14,000 changes a day the last 50 minutes.
	logLength = 512
	// logBytes bounds the deltas kept, in bytes.
	logBytes = 1 << 20
	// maxWholeBytes bounds a decoded configuration.
	maxWholeBytes = 64 << 20
)

// Store holds the configuration in force. It is safe for concurrent use; ActiveVersion
// takes no lock.
type Store struct {
	inForce atomic.Pointer[structs.Configuration]

	mutex sync.Mutex
	// held is the newest configuration known, vouched for or not; hash is its hash.
	held *structs.Configuration
	hash uint64
	// floor is the highest version that was ever in force here.
	floor uint64
	log   []*gossipv1.DocumentDelta
	bytes int
	// whole is the encoding of wholeVersion for peers that need all of it.
	whole        []byte
	wholeVersion uint64
	disk         *disk
	share        func(*structs.Configuration) *structs.Configuration

	deliveries sync.Mutex
	listeners  []func(*structs.Configuration)
	delivered  uint64
}

// NewStore returns a store. With a data folder it remembers the version in
// force across restarts, and never goes below it; an empty one keeps nothing.
// The error is a *StorageFailed.
func NewStore(dataDir string) (*Store, error) {
	s := &Store{}
	if dataDir == "" {
		return s, nil
	}
	kept, err := openDisk(dataDir)
	if err != nil {
		return nil, err
	}
	s.disk = kept
	s.floor = kept.floor()
	if remembered := kept.load(); remembered != nil {
		s.held = remembered
		s.hash = hashConfiguration(remembered)
		s.floor = max(s.floor, remembered.Version)
	}
	return s, nil
}

// ActiveVersion returns the configuration in force; nil until a vouched version is
// held. The value must not be changed.
func (s *Store) InForce() *structs.Configuration { return s.inForce.Load() }

// OnChange adds a listener. It is called with each newer configuration in
// force, some of which may be skipped, one call at a time.
func (s *Store) OnChange(listener func(*structs.Configuration)) {
	s.deliveries.Lock()
	defer s.deliveries.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Deliver calls the listeners if a newer configuration is in force, after it
// was written to the data folder.
func (s *Store) Deliver() {
	s.deliveries.Lock()
	defer s.deliveries.Unlock()
	current := s.inForce.Load()
	if current == nil || current.Version <= s.delivered {
		return
	}
	s.delivered = current.Version
	eventInForce.Log("version", current.Version, "plan", current.PlanID)
	if s.disk != nil {
		if err := s.disk.save(current); err != nil {
			eventStorage.Log("error", err)
		}
	}
	for _, listener := range s.listeners {
		listener(current)
	}
}

// Offer takes a configuration that the platform answered with. It reports the
// version that was in force before, and whether this one is newer and now in
// force. A lower version is the answer of a lagging store and is dropped.
func (s *Store) Offer(c *structs.Configuration) (before uint64, newer bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before = s.version()
	if c.Version < s.floor || c.Version <= before {
		return before, false
	}
	if s.held != nil && s.held.Version == c.Version {
		s.putInForce()
		return before, true
	}
	if s.held == nil {
		s.hold(c, hashConfiguration(c))
	} else {
		s.advance(c)
	}
	s.putInForce()
	return before, true
}

// advance replaces the held version by a newer one and logs the difference.
func (s *Store) advance(c *structs.Configuration) {
	delta := diff(s.held, c, s.hash)
	if data, err := json.Marshal(delta); err == nil {
		s.keep(&gossipv1.DocumentDelta{Base: s.held.Version, Version: c.Version, Data: data})
	}
	s.hold(c, delta.Hash)
}

// keep adds a delta to the log and drops the oldest beyond the bounds.
func (s *Store) keep(delta *gossipv1.DocumentDelta) {
	s.log = append(s.log, delta)
	s.bytes += len(delta.Data)
	for len(s.log) > logLength || s.bytes > logBytes && len(s.log) > 1 {
		s.bytes -= len(s.log[0].Data)
		s.log = s.log[1:]
	}
}

func (s *Store) putInForce() {
	if s.held.Version < s.floor {
		return
	}
	s.floor = s.held.Version
	s.inForce.Store(s.held)
}

// Share lets stores of one process hold one copy of equal configurations: the
// function returns the copy to hold in place of its argument.
func (s *Store) Share(share func(*structs.Configuration) *structs.Configuration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.share = share
}

// hold makes a configuration the newest one known.
func (s *Store) hold(c *structs.Configuration, hash uint64) {
	if s.share != nil {
		c = s.share(c)
	}
	s.held, s.hash = c, hash
}

func (s *Store) version() uint64 {
	if current := s.inForce.Load(); current != nil {
		return current.Version
	}
	return 0
}

// Version returns the version in force, 0 if there is none.
func (s *Store) Version() uint64 { return s.version() }

// HeldVersion returns the newest version known, vouched for or not.
func (s *Store) HeldVersion() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held == nil {
		return 0
	}
	return s.held.Version
}

func encodeWhole(c *structs.Configuration) ([]byte, error) {
	encoded, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, err
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(encoded, nil), nil
}

func decodeWhole(data []byte) (*structs.Configuration, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxWholeBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	encoded, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, err
	}
	c := &structs.Configuration{}
	if err := json.Unmarshal(encoded, c); err != nil {
		return nil, err
	}
	return c, nil
}
