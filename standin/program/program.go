// Package program builds the program under test for tests that run it as separate processes.
package program

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// RunWithBinary builds the program, calls the function run with the path of the binary and returns the result of run.
// It removes the binary afterwards. If it cannot build the binary, it returns 1 and the error.
func RunWithBinary(run func(binary string) int) (int, error) {
	dir, err := os.MkdirTemp("", "wisteriadyke")
	if err != nil {
		return 1, errors.Wrap(err, "program under test")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary := filepath.Join(dir, "wisteriadyke")
	// Without the folder in the result, the build cache also serves builds of the same packages in other folders.
	build := exec.CommandContext(context.Background(), "go", "build", "-trimpath", "-o", binary, "wisteriadyke")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, errors.Wrap(err, "program under test")
	}
	return run(binary), nil
}
