package main

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
)

type versionCommand struct {
	app *application
}

// versionReport is what the build recorded of this program.
type versionReport struct {
	Version    string `json:"version"`
	Revision   string `json:"revision,omitempty"`
	Modified   bool   `json:"modified,omitempty"`
	Go         string `json:"go"`
	APIVersion string `json:"apiVersion"`
}

// Execute shows the version.
func (c *versionCommand) Execute([]string) error {
	report := readVersion()
	return c.app.write(report, func(out io.Writer) {
		fmt.Fprintf(out, "barleyshelf %s\n", report.Version)
		if report.Revision != "" {
			fmt.Fprintf(out, "revision %s\n", report.Revision)
		}
		fmt.Fprintf(out, "%s, declarations %s\n", report.Go, report.APIVersion)
	})
}

func readVersion() versionReport {
	report := versionReport{Version: "unknown", APIVersion: declaration.APIVersion}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return report
	}
	report.Version, report.Go = build.Main.Version, build.GoVersion
	for _, setting := range build.Settings {
		switch setting.Key {
		case "vcs.revision":
			report.Revision = setting.Value
		case "vcs.modified":
			report.Modified = setting.Value == "true"
		}
	}
	return report
}
