// Package declaration reads the operators' declarations: a directory of YAML
// documents, each with apiVersion, kind, metadata.name and spec. Decoding is
// strict, references and contradictions are checked, and all problems are
// reported at once, each with file, line, field and what is allowed.
package declaration

import (
	"io/fs"
	"os"
	"path/filepath"
	"sort"

	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// APIVersion is the version of the declarations that this release reads.
const APIVersion = "barleyshelf.io/v1alpha1"

// subject names declarations in reports of problems.
const subject = "declarations"

// Load reads every .yaml and .yml file under dir, in the order of their paths.
// The declarations are sorted by name, so that the same documents in other
// files give the same value. Errors: *Unreadable, *strictyaml.Invalid.
func Load(dir string) (structs.Declarations, error) {
	paths, err := yamlFiles(dir)
	if err != nil {
		return structs.Declarations{}, &Unreadable{Path: dir, Cause: err}
	}
	var read catalogue
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return structs.Declarations{}, &Unreadable{Path: path, Cause: err}
		}
		read.addFile(path, data)
	}
	declarations := read.declarations()
	problems := append(read.problems, check(declarations, &read)...)
	if len(paths) == 0 {
		problems = []strictyaml.Problem{{File: dir, Reason: "holds no declarations", Allowed: "files named *.yaml or *.yml"}}
	}
	return declarations, strictyaml.NewInvalid(subject, problems)
}

// Check applies the checks of Load to declarations that came without files.
// The error is a *strictyaml.Invalid whose fields begin with "Kind/name".
func Check(declarations structs.Declarations) error {
	return strictyaml.NewInvalid(subject, check(declarations, nil))
}

func yamlFiles(dir string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		extension := filepath.Ext(path)
		if !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			paths = append(paths, path)
		}
		return nil
	})
	sort.Strings(paths)
	return paths, err
}
