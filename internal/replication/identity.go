package replication

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// asideSuffix ends the name of a database that was set aside.
const asideSuffix = ".damaged"

// LoadOrCreateIncarnation returns the incarnation under which a daemon with a data folder
// is to start: the stored one, if all that it promised is intact, and else
// fresh, after the damaged database was set aside. A daemon calls it before it
// tells anyone its incarnation. The error is a *failure.DiskFailed.
func LoadOrCreateIncarnation(folder string, fresh structs.Incarnation) (structs.Incarnation, error) {
	held, err := storedIdentity(folder)
	if err == nil && held != 0 {
		return held, nil
	}
	var lost *CorruptStateError
	if err != nil && !errors.As(err, &lost) {
		return 0, &failure.DiskFailed{Cause: err}
	}
	if lost != nil {
		eventStateLost.Log("folder", folder, "reason", lost.Reason, "incarnation", fresh)
		if err := setAside(folder); err != nil {
			return 0, &failure.DiskFailed{Cause: err}
		}
	}
	store, err := OpenBoltStorage(folder, fresh)
	if err != nil {
		return 0, err
	}
	if err := store.Close(); err != nil {
		return 0, &failure.DiskFailed{Cause: err}
	}
	return fresh, nil
}

// storedIdentity returns the incarnation that the folder belongs to, 0 where
// none claimed it, and a *CorruptStateError where its state is not intact.
func storedIdentity(folder string) (held structs.Incarnation, err error) {
	if _, err := os.Stat(filepath.Join(folder, boltFile)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	database, err := openDatabase(folder)
	if err != nil {
		return 0, damaged(err)
	}
	store := &BoltStorage{database: database}
	defer func() {
		if reason := recover(); reason != nil {
			err = &CorruptStateError{Reason: fmt.Sprint(reason)}
		}
		err = errors.Join(err, store.Close())
	}()
	err = database.View(func(tx *bbolt.Tx) error {
		identity := tx.Bucket(bucketIdentity)
		if identity == nil {
			return nil
		}
		data, err := open(keyIncarnation, identity.Get(keyIncarnation))
		if err == nil && len(data) > 0 {
			held = structs.Incarnation(binary.BigEndian.Uint64(data))
		}
		return err
	})
	if err != nil || held == 0 {
		return 0, err
	}
	if _, err := store.Load(); err != nil {
		return 0, err
	}
	return held, nil
}

// damaged tells damage of the file itself from a file that cannot be opened.
func damaged(err error) error {
	if errors.Is(err, os.ErrPermission) || errors.Is(err, bolterrors.ErrTimeout) {
		return err
	}
	return &CorruptStateError{Reason: err.Error()}
}

func setAside(folder string) error {
	name := filepath.Join(folder, boltFile)
	if err := os.Rename(name, name+asideSuffix); err != nil {
		return &failure.DiskFailed{Cause: err}
	}
	return nil
}
