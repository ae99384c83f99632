package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
	"github.com/barleyshelf/barleyshelf/internal/settings"
	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

type validateCommand struct {
	Settings  string `long:"settings" value-name:"FILE" description:"settings file to check"`
	Role      string `long:"role" choice:"daemon" choice:"gateway" choice:"replica" default:"daemon" description:"what the settings file is for"`
	Directory string `short:"f" long:"directory" value-name:"DIR" description:"directory of declarations to check"`

	app *application
}

// validateReport counts what was checked.
type validateReport struct {
	Settings     bool           `json:"settings"`
	Declarations map[string]int `json:"declarations,omitempty"`
}

// Execute checks what the flags name; problems of both are reported together.
func (c *validateCommand) Execute(arguments []string) error {
	if c.Settings == "" && c.Directory == "" || len(arguments) > 0 {
		return &wrongUse{reason: "validate takes --settings FILE, -f DIR or both"}
	}
	var report validateReport
	var settingsErr, declarationsErr error
	if c.Settings != "" {
		report.Settings = true
		settingsErr = validateSettings(c.Role, c.Settings)
	}
	if c.Directory != "" {
		report.Declarations, declarationsErr = validateDeclarations(c.Directory)
	}
	if err := both(settingsErr, declarationsErr); err != nil {
		return err
	}
	return c.app.write(report, func(out io.Writer) { fmt.Fprintln(out, "valid") })
}

func validateSettings(role, path string) error {
	if role != "daemon" {
		return validateRole(role, path)
	}
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	return loaded.ValidateFile(path)
}

func validateRole(role, path string) error {
	validate := settings.Role.ValidateReplica
	if role == "gateway" {
		validate = settings.Role.ValidateGateway
	}
	_, err := settings.LoadValidRole(path, validate)
	return err
}

func validateDeclarations(dir string) (map[string]int, error) {
	loaded, err := declaration.Load(dir)
	counts := map[string]int{
		"zones": len(loaded.Zones), "tenants": len(loaded.Tenants), "models": len(loaded.Models),
		"tools": len(loaded.Tools), "programs": len(loaded.Programs),
	}
	return counts, err
}

// both joins the problems of settings and declarations into one report.
func both(first, second error) error {
	var one, other *strictyaml.Invalid
	if errors.As(first, &one) && errors.As(second, &other) {
		return &strictyaml.Invalid{What: one.What, Problems: append(append([]strictyaml.Problem(nil), one.Problems...), other.Problems...)}
	}
	if first != nil {
		return first
	}
	return second
}
