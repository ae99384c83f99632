package config

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Files of the data folder: a configuration that was in force not long ago, and
// the number of the last version in force.
const (
	fileName      = "configuration.zst"
	floorFileName = "configuration.version"
	// wholePause is the least time between two writes of the whole.
	wholePause = time.Minute
)

// disk keeps what a restarted daemon must know in a data folder. The version
// is written at each change; the whole only now and then, because peers have it.
type disk struct {
	path      string
	floorPath string
	written   time.Time
}

func openDisk(dataDir string) (*disk, error) {
	if err := os.MkdirAll(dataDir, 0o700); err != nil {
		return nil, &StorageFailed{Path: dataDir, Cause: err}
	}
	return &disk{path: filepath.Join(dataDir, fileName), floorPath: filepath.Join(dataDir, floorFileName)}, nil
}

// load returns the remembered configuration; nil if there is none that can be read.
func (d *disk) load() *structs.Configuration {
	data, err := os.ReadFile(d.path)
	if os.IsNotExist(err) {
		return nil
	}
	if err == nil {
		var c *structs.Configuration
		if c, err = decodeWhole(data); err == nil {
			return c
		}
	}
	eventStorage.Log("path", d.path, "error", err)
	return nil
}

// floor returns the last version in force; 0 if none is remembered.
func (d *disk) floor() uint64 {
	data, err := os.ReadFile(d.floorPath)
	if os.IsNotExist(err) {
		return 0
	}
	if err == nil {
		var floor uint64
		if floor, err = strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64); err == nil {
			return floor
		}
	}
	eventStorage.Log("path", d.floorPath, "error", err)
	return 0
}

// save remembers the version in force, and the whole if that was long ago.
func (d *disk) save(c *structs.Configuration) error {
	if err := replaceFile(d.floorPath, strconv.AppendUint(nil, c.Version, 10)); err != nil {
		return err
	}
	if now := time.Now(); now.Sub(d.written) >= wholePause {
		d.written = now
		data, err := encodeWhole(c)
		if err != nil {
			return &StorageFailed{Path: d.path, Cause: err}
		}
		return replaceFile(d.path, data)
	}
	return nil
}

// replaceFile replaces a file as one step.
func replaceFile(path string, data []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return &StorageFailed{Path: path, Cause: err}
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	if err := writeSynced(temporary, data); err != nil {
		return &StorageFailed{Path: path, Cause: err}
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return &StorageFailed{Path: path, Cause: err}
	}
	return nil
}

func writeSynced(file *os.File, data []byte) error {
	defer func() { _ = file.Close() }()
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}
