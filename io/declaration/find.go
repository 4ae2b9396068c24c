package declaration

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"wisteriadyke/io/jsonfile"
)

// Extension is the suffix of the declaration files that are searched for in a directory.
const Extension = ".hujson"

// FindFiles returns the paths of the declaration files that the arguments of a command denote, in the order of the
// arguments and without duplicates.
//
// A directory denotes all files in its tree whose names end in Extension; hidden directories are skipped. Any other
// path denotes itself. The error is of type jsonfile.Faults, with one fault for each argument that cannot be read or
// denotes no file.
func FindFiles(args []string) ([]string, error) {
	var paths []string
	var faults jsonfile.Faults
	for _, arg := range args {
		found, err := findInArgument(arg)
		if err != nil {
			faults = append(faults, jsonfile.Fault{File: arg, Problem: err.Error()})
			continue
		}
		if len(found) == 0 {
			faults = append(faults, jsonfile.Fault{File: arg, Problem: "no file ends in " + Extension})
		}
		for _, path := range found {
			if !slices.Contains(paths, path) {
				paths = append(paths, path)
			}
		}
	}
	return paths, faults.Err()
}

// findInArgument returns the declaration files that one argument denotes, in lexical order.
func findInArgument(arg string) ([]string, error) {
	info, err := os.Stat(arg)
	if err != nil {
		return nil, errorCause(err)
	}
	if !info.IsDir() {
		return []string{filepath.Clean(arg)}, nil
	}
	var paths []string
	err = filepath.WalkDir(arg, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != arg && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case !entry.IsDir() && strings.HasSuffix(path, Extension):
			paths = append(paths, path)
		}
		return nil
	})
	return paths, err
}

// errorCause returns the cause of a file error without the path.
func errorCause(err error) error {
	if pathErr, ok := err.(*fs.PathError); ok { //nolint:errorlint // os.Stat returns it unwrapped.
		return pathErr.Err
	}
	return err
}
