// Command zinnialock is a query tier over many shards.
package main

import (
	"os"

	"zinnialock/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
