package config

import (
	"encoding/json"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Document is the store as the cluster spreads it between daemons.
type Document struct{ store *Store }

var _ membership.Document = (*Document)(nil)

// Document returns the store's side towards the cluster.
func (s *Store) Document() *Document { return &Document{store: s} }

// ActiveVersion is the version in force; 0 is none.
func (d *Document) ActiveVersion() uint64 { return d.store.version() }

// HeldVersion is the newest version known, vouched for or not.
func (d *Document) HeldVersion() uint64 { return d.store.HeldVersion() }

// Deliver calls the store's listeners.
func (d *Document) Deliver() { d.store.Deliver() }

// Confirm puts the held version in force if it is the given one.
func (d *Document) Confirm(version uint64) {
	s := d.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held != nil && s.held.Version == version && s.version() < version {
		s.putInForce()
	}
}

// Deltas lead from the version after to the one in force; nil if the log does
// not reach back so far.
func (d *Document) Deltas(after uint64) []*gossipv1.DocumentDelta {
	s := d.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, delta := range s.log {
		if delta.Base == after {
			return append([]*gossipv1.DocumentDelta(nil), s.log[i:]...)
		}
	}
	return nil
}

// Apply applies a delta to the held version. A delta that does not give the
// content that its maker had is dropped; the whole is fetched then.
func (d *Document) Apply(delta *gossipv1.DocumentDelta) bool {
	s := d.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held == nil || s.held.Version != delta.Base || delta.Version <= delta.Base {
		return false
	}
	change := &configurationDelta{}
	if err := json.Unmarshal(delta.Data, change); err != nil {
		eventBadDelta.Log("base", delta.Base, "version", delta.Version, "error", err)
		return false
	}
	hash := change.nextHash(s.held, s.hash)
	if hash != change.Hash {
		eventBadDelta.Log("base", delta.Base, "version", delta.Version)
		return false
	}
	s.hold(change.apply(s.held, delta.Version), hash)
	s.keep(delta)
	s.putInForce()
	return true
}

// Snapshot returns a version and its encoding. It may be an older one, as long as
// the log leads on from it.
func (d *Document) Snapshot() (uint64, []byte) {
	s := d.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.inForce.Load()
	if current == nil {
		return 0, nil
	}
	if s.wholeVersion == current.Version || s.wholeVersion > 0 && s.logReaches(s.wholeVersion) {
		return s.wholeVersion, s.whole
	}
	whole, err := encodeWhole(current)
	if err != nil {
		return 0, nil
	}
	s.whole, s.wholeVersion = whole, current.Version
	return s.wholeVersion, s.whole
}

func (s *Store) logReaches(version uint64) bool {
	for _, delta := range s.log {
		if delta.Base == version {
			return true
		}
	}
	return false
}

// ApplySnapshot replaces the held version by a newer one.
func (d *Document) ApplySnapshot(version uint64, data []byte) bool {
	c, err := decodeWhole(data)
	if err != nil || c.Version != version {
		eventBadWhole.Log("version", version, "error", err)
		return false
	}
	return d.store.replace(c)
}

func (s *Store) replace(c *structs.Configuration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.held != nil && c.Version <= s.held.Version || c.Version < s.floor {
		return false
	}
	s.hold(c, hashConfiguration(c))
	s.log, s.bytes = nil, 0
	s.putInForce()
	return true
}
