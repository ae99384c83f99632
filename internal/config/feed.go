package config

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// RootKey is the platform's object that holds the configuration as JSON.
const RootKey = "config/root"

// Object is an object of the platform.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
	// Deleted objects come from watches alone and have no value.
	Deleted bool
}

// Watch is a stream of changes of the platform's objects.
type Watch interface {
	// Next blocks until an object changed, or the stream ends with an error.
	Next() (Object, error)
	Close() error
}

// Source reads the platform's object API.
type Source interface {
	Get(ctx context.Context, key string) (Object, error)
	// Watch reports changes of objects under the prefix that are later than the
	// version after. It ends with the context.
	Watch(ctx context.Context, prefix string, after uint64) (Watch, error)
}

// Peers is what the feed needs of the cluster.
type Peers interface {
	// Members returns the daemons that were not removed.
	Members() []structs.Node
	// DocumentChanged tells the peers that the document advanced from the
	// version before.
	DocumentChanged(before uint64)
}

// FeedOptions configure a Feed.
type FeedOptions struct {
	// Self is the daemon.
	Self   structs.NodeID
	Source Source
	Peers  Peers
	Store  *Store
	// ReadersPerZone is the number of daemons of each zone that read the
	// platform; 0 means DefaultReadersPerZone.
	ReadersPerZone int
}

// DefaultReadersPerZone is the number of daemons of each zone that read the
// platform: one may fail unnoticed.
const DefaultReadersPerZone = 2

const (
	// roleCheck is how often a daemon looks whether it is a reader.
	roleCheck = 2 * time.Second
	// firstBackoff and longestBackoff bound the pause after a failed read.
	firstBackoff   = 500 * time.Millisecond
	longestBackoff = 15 * time.Second
	// watchSpan is when a reader reads the object again though the watch is
	// quiet: the platform's watches may lose changes.
	watchSpan = 30 * time.Second
	// readTimeout bounds one read.
	readTimeout = 10 * time.Second
)

// Feed brings configurations from the platform while the daemon is one of its
// zone's readers.
type Feed struct {
	options FeedOptions
	backoff time.Duration
}

// NewFeed returns a feed that Run drives.
func NewFeed(options FeedOptions) *Feed {
	if options.ReadersPerZone == 0 {
		options.ReadersPerZone = DefaultReadersPerZone
	}
	return &Feed{options: options}
}

// Run reads while the daemon is a reader, until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.Reading() {
			pause.For(ctx, roleCheck)
			continue
		}
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			eventPlatform.Log("error", err)
			pause.For(ctx, f.nextBackoff())
		}
	}
}

// Reading reports whether the daemon is one of its zone's readers.
func (f *Feed) Reading() bool {
	return IsReader(f.options.Self, f.options.Peers.Members(), f.options.ReadersPerZone)
}

// IsReader reports whether the daemon is one of the readers of its zone, which
// are chosen by rendezvous hash among the members that are alive. A daemon
// that is not yet among the members reads for itself.
func IsReader(self structs.NodeID, members []structs.Node, readers int) bool {
	at := slices.IndexFunc(members, func(node structs.Node) bool { return node.ID == self })
	if at < 0 {
		return true
	}
	own := readerRank(self)
	before := 0
	for _, node := range members {
		if node.Zone != members[at].Zone || node.State != structs.NodeAlive || node.ID == self {
			continue
		}
		if cmp.Or(cmp.Compare(readerRank(node.ID), own), cmp.Compare(node.ID, self)) < 0 {
			before++
		}
	}
	return before < readers
}

func readerRank(id structs.NodeID) uint64 { return xxhash.Sum64String(RootKey + "\x00" + string(id)) }

// follow reads the object and then its changes for a while.
func (f *Feed) follow(ctx context.Context) error {
	spanned, cancel := context.WithTimeout(ctx, watchSpan)
	defer cancel()
	version, err := f.read(spanned)
	if err != nil {
		return err
	}
	f.backoff = 0
	watch, err := f.options.Source.Watch(spanned, RootKey, version)
	if err != nil {
		return err
	}
	defer func() { _ = watch.Close() }()
	for {
		object, err := watch.Next()
		if spanned.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		if object.Key == RootKey && !object.Deleted {
			f.take(object)
		}
		if !f.Reading() {
			return nil
		}
	}
}

func (f *Feed) read(ctx context.Context) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	object, err := f.options.Source.Get(bounded, RootKey)
	if err != nil {
		return 0, err
	}
	f.take(object)
	return object.Version, nil
}

// take puts what the platform answered in force if it is newer. The version is
// the platform's, whatever the object says of itself.
func (f *Feed) take(object Object) {
	c := &structs.Configuration{}
	if err := json.Unmarshal(object.Value, c); err != nil {
		eventUnreadable.Log("version", object.Version, "error", err)
		return
	}
	c.Version = object.Version
	before, newer := f.options.Store.Offer(c)
	if newer {
		f.options.Store.Deliver()
		f.options.Peers.DocumentChanged(before)
		return
	}
	if object.Version < before {
		eventLagging.Log("version", object.Version, "inForce", before)
	}
}

// nextBackoff doubles the pause and spreads the readers over it.
func (f *Feed) nextBackoff() time.Duration {
	f.backoff = min(max(f.backoff*2, firstBackoff), longestBackoff)
	return f.backoff/2 + time.Duration(rand.Int64N(int64(f.backoff/2)))
}
