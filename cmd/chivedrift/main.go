// Command chivedrift routes language-model traffic with service levels and priorities.
package main

import (
	"os"

	"chivedrift/chivecommand"
)

func main() {
	os.Exit(chivecommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
