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

// corruptSuffix is appended to the file name of a corrupt database.
const corruptSuffix = ".damaged"

// LoadOrCreateIncarnation returns the incarnation under which a daemon with a
// data folder must start: the stored incarnation if its state is intact, and
// fresh otherwise. A corrupt database is renamed first. The daemon must call
// this before it announces its incarnation. The error is a *failure.DiskFailed.
func LoadOrCreateIncarnation(folder string, fresh structs.Incarnation) (structs.Incarnation, error) {
	stored, err := loadStoredIncarnation(folder)
	if err == nil && stored != 0 {
		return stored, nil
	}
	var corrupt *CorruptStateError
	if err != nil && !errors.As(err, &corrupt) {
		return 0, &failure.DiskFailed{Cause: err}
	}
	if corrupt != nil {
		eventStateCorrupt.Log("folder", folder, "reason", corrupt.Reason, "incarnation", fresh)
		if err := renameCorruptDatabase(folder); err != nil {
			return 0, &failure.DiskFailed{Cause: err}
		}
	}
	storage, err := OpenBoltStorage(folder, fresh)
	if err != nil {
		return 0, err
	}
	if err := storage.Close(); err != nil {
		return 0, &failure.DiskFailed{Cause: err}
	}
	return fresh, nil
}

// loadStoredIncarnation returns the incarnation that owns the folder, or 0 if
// none does. The error is a *CorruptStateError if its state is not intact.
func loadStoredIncarnation(folder string) (stored structs.Incarnation, err error) {
	if _, err := os.Stat(filepath.Join(folder, databaseFile)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	database, err := openDatabase(folder)
	if err != nil {
		return 0, asCorruptState(err)
	}
	storage := &BoltStorage{database: database}
	defer func() {
		if reason := recover(); reason != nil {
			err = &CorruptStateError{Reason: fmt.Sprint(reason)}
		}
		err = errors.Join(err, storage.Close())
	}()
	err = database.View(func(tx *bbolt.Tx) error {
		identity := tx.Bucket(bucketIdentity)
		if identity == nil {
			return nil
		}
		data, err := verifyChecksum(keyIncarnation, identity.Get(keyIncarnation))
		if err == nil && len(data) > 0 {
			stored = structs.Incarnation(binary.BigEndian.Uint64(data))
		}
		return err
	})
	if err != nil || stored == 0 {
		return 0, err
	}
	if _, err := storage.Load(); err != nil {
		return 0, err
	}
	return stored, nil
}

// asCorruptState returns err unchanged if the file is locked or access to it is
// denied, and a *CorruptStateError otherwise.
func asCorruptState(err error) error {
	if errors.Is(err, os.ErrPermission) || errors.Is(err, bolterrors.ErrTimeout) {
		return err
	}
	return &CorruptStateError{Reason: err.Error()}
}

func renameCorruptDatabase(folder string) error {
	name := filepath.Join(folder, databaseFile)
	if err := os.Rename(name, name+corruptSuffix); err != nil {
		return &failure.DiskFailed{Cause: err}
	}
	return nil
}
