package config

import (
	"os"
	"path/filepath"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// fileName is the file of the data folder that holds the last configuration in force.
const fileName = "configuration.zst"

// disk keeps the last configuration in force in a data folder.
type disk struct{ path string }

func openDisk(dataDir string) (*disk, error) {
	if err := os.MkdirAll(dataDir, 0o700); err != nil {
		return nil, &StorageFailed{Path: dataDir, Cause: err}
	}
	return &disk{path: filepath.Join(dataDir, fileName)}, nil
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

// save replaces the file as one step.
func (d *disk) save(c *structs.Configuration) error {
	data, err := encodeWhole(c)
	if err != nil {
		return &StorageFailed{Path: d.path, Cause: err}
	}
	temporary, err := os.CreateTemp(filepath.Dir(d.path), fileName+".*")
	if err != nil {
		return &StorageFailed{Path: d.path, Cause: err}
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	if err := writeSynced(temporary, data); err != nil {
		return &StorageFailed{Path: d.path, Cause: err}
	}
	if err := os.Rename(temporary.Name(), d.path); err != nil {
		return &StorageFailed{Path: d.path, Cause: err}
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
