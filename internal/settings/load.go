package settings

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

// subject names settings in reports of problems.
const subject = "settings"

// FileFlag is the long name of the flag that names the settings file.
const FileFlag = "settings"

// Load reads the settings file over the defaults. Its errors are a
// *strictyaml.Invalid with file, line and key, or a *Unreadable.
// It does not call Validate: flags may still complete the settings.
func Load(path string) (Settings, error) {
	loaded := Default()
	err := decodeFile(path, &loaded)
	return loaded, err
}

// decodeFile reads the one document of a settings file over what into holds.
func decodeFile(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Unreadable{Path: path, Cause: err}
	}
	documents, problems := strictyaml.Parse(path, data)
	if len(documents) > 1 {
		problems = append(problems, documents[1].Problem("", "a second document", "one document"))
	}
	if len(documents) > 0 {
		problems = append(problems, documents[0].Decode(into)...)
	}
	return strictyaml.NewInvalid(subject, problems)
}

// FromArguments reads the file that --settings names, if any, and then lets
// every other flag override its key, whatever their order. Flags that are not
// settings are left alone. It does not call Validate.
func FromArguments(arguments []string) (Settings, error) {
	var probe struct {
		File string `long:"settings"`
	}
	if _, err := flags.NewParser(&probe, flags.IgnoreUnknown).ParseArgs(arguments); err != nil {
		return Settings{}, &BadFlag{Cause: err}
	}
	loaded := Default()
	if probe.File != "" {
		fromFile, err := Load(probe.File)
		if err != nil {
			return loaded, err
		}
		loaded = fromFile
	}
	if _, err := flags.NewParser(&loaded, flags.IgnoreUnknown|flags.AllowBoolValues).ParseArgs(arguments); err != nil {
		return loaded, &BadFlag{Cause: err}
	}
	return loaded, nil
}
