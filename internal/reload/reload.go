// Package reload puts a changed settings file of a running role in force.
package reload

import (
	"context"
	"os"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/settings"
)

// pollEvery is how often the file is looked at: it may change without a signal.
const pollEvery = time.Second

var (
	eventReloaded = event.Define(2911, event.Info, "settings file read again", "Keys under needs_restart hold from the next start on.")
	eventRefused  = event.Define(2912, event.Error, "changed settings file refused; the former settings stay", "Mend the file: barleyshelf validate --role ROLE --settings FILE.")
)

// Watcher follows one settings file.
type Watcher struct {
	// Path is the file.
	Path string
	// Loaded are the settings in force.
	Loaded settings.Role
	// Validate checks settings for the role.
	Validate func(settings.Role) error
	// Apply puts in force what may change while the role runs.
	Apply func(settings.Role)

	seen fileVersion
}

// fileVersion tells one content of a file from another.
type fileVersion struct {
	modified time.Time
	size     int64
}

func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}

// Run reads the file again when it has changed, and at each signal, until ctx
// ends.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal) {
	w.seen = versionOf(w.Path)
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			w.Reload()
		case <-ticker.C:
			if versionOf(w.Path) != w.seen {
				w.Reload()
			}
		}
	}
}

// Reload reads the file once. A bad one changes nothing.
func (w *Watcher) Reload() {
	w.seen = versionOf(w.Path)
	next, err := settings.LoadValidRole(w.Path, w.Validate)
	if err != nil {
		eventRefused.Log("file", w.Path, "cause", err.Error())
		return
	}
	applied, needsRestart := w.Loaded.Changes(next)
	if len(applied) > 0 {
		w.Loaded = w.Loaded.With(next)
		w.Apply(w.Loaded)
	}
	eventReloaded.Log("file", w.Path, "applied", applied, "needs_restart", needsRestart)
}
