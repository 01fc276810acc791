// Command two plays the cases of the second review: it serves the stand-ins of the platform, starts the router's processes and sends
// what clients send.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	caseNotRun  = 2
	argsPerCase = 3
)

func main() {
	plays := map[string]func(*world) int{
		"versions": playVersions,
		"era":      playEra,
		"joined":   playJoined,
		"rejoin":   playRejoin,
	}
	if len(os.Args) != argsPerCase || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "two: expected a case and its folder")
		os.Exit(caseNotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "two:", err)
		os.Exit(caseNotRun)
	}
	code := plays[os.Args[1]](w)
	w.close()
	os.Exit(code)
}
