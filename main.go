// Command zinnialock runs a daemon of the query tier and has the tools of its operators.
// The subcommands are in package cmd.
package main

import (
	"os"

	"zinnialock/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
