package cmd

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// flagPattern matches a flag on a reference page.
var flagPattern = regexp.MustCompile("`--([a-z-]+)`")

func TestReferenceNamesEveryFlag(t *testing.T) {
	for _, command := range newRootCommand().Commands() {
		t.Run(command.Name(), func(t *testing.T) {
			page, err := os.ReadFile(filepath.Join("..", "docs", "reference", command.Name()+".md"))
			if err != nil {
				t.Fatal(err)
			}
			named := make(map[string]bool)
			for _, match := range flagPattern.FindAllSubmatch(page, -1) {
				named[string(match[1])] = true
			}
			flags := flagsOf(command)
			for flag := range flags {
				if !named[flag] {
					t.Errorf("%s.md does not describe --%s", command.Name(), flag)
				}
			}
			for flag := range named {
				if !flags[flag] {
					t.Errorf("%s.md describes --%s, which does not exist", command.Name(), flag)
				}
			}
		})
	}
}

// flagsOf returns the flags of a command and of its subcommands, except --help.
func flagsOf(command *cobra.Command) map[string]bool {
	flags := make(map[string]bool)
	command.LocalFlags().VisitAll(func(f *pflag.Flag) { flags[f.Name] = true })
	for _, child := range command.Commands() {
		for flag := range flagsOf(child) {
			flags[flag] = true
		}
	}
	delete(flags, "help")
	return flags
}
