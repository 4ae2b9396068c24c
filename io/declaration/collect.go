package declaration

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"wisteriadyke/io/jsonfile"
)

// Extension ends the names of the files that a directory is searched for.
const Extension = ".hujson"

// FindFiles returns the declaration files among the arguments of a command in their order.
//
// A directory stands for every file in it and below whose name ends in Extension; hidden directories are left out. The
// error is of type jsonfile.Faults.
func FindFiles(args []string) ([]string, error) {
	var paths []string
	var faults jsonfile.Faults
	for _, arg := range args {
		found, err := collectOne(arg)
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

// collectOne returns the files that one argument stands for.
func collectOne(arg string) ([]string, error) {
	info, err := os.Stat(arg)
	if err != nil {
		return nil, reason(err)
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

// reason returns the cause of a file error without the path.
func reason(err error) error {
	if pathErr, ok := err.(*fs.PathError); ok { //nolint:errorlint // os.Stat returns it unwrapped.
		return pathErr.Err
	}
	return err
}
