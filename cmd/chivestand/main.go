// Command chivestand runs the stand-ins for the platform and the endpoints, one a process.
package main

import (
	"os"

	"chivedrift/chivestand"
)

func main() {
	os.Exit(chivestand.Main(os.Args[1:], os.Stderr))
}
