package config

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/platform"
)

// platformSource reads the platform's service.
type platformSource struct{ client *platform.Client }

// FromPlatform returns the source that reads through the platform's client.
func FromPlatform(client *platform.Client) Source { return &platformSource{client} }

// Get reads an object. The errors are those of platform.Client.Get.
func (s *platformSource) Get(ctx context.Context, key string) (Object, error) {
	found, err := s.client.Get(ctx, key)
	return fromPlatform(found), err
}

// Watch starts a stream that ends with the context.
func (s *platformSource) Watch(ctx context.Context, prefix string, after uint64) (Watch, error) {
	watch, err := s.client.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	return &platformWatch{watch}, nil
}

type platformWatch struct{ watch *platform.Watch }

// Next blocks until an object changed.
func (w *platformWatch) Next() (Object, error) {
	changed, err := w.watch.Next()
	return fromPlatform(changed), err
}

// Close ends the stream.
func (w *platformWatch) Close() error { return w.watch.Close() }

func fromPlatform(o platform.Object) Object {
	return Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted}
}
