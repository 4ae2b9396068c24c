// Command wisteriadyke serves model prompts of very different lengths from one fleet.
package main

import (
	"os"

	"wisteriadyke/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
