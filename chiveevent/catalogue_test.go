package chiveevent_test

import (
	"fmt"
	"strings"
	"testing"

	"chivedrift/chiveevent"

	"github.com/sebdah/goldie/v2"
)

// TestCataloguePage compares docs/EVENTS.md with the catalogue; -update writes the page.
func TestCataloguePage(t *testing.T) {
	page := strings.Builder{}
	page.WriteString("# Log events\n\nEvery log line of a node carries one of these numbers in the field `event`. Made from the code; a test holds the two together.\n\n")
	page.WriteString("| event | level | what happened | what to do |\n|---|---|---|---|\n")
	seen := make(map[int]bool)
	for _, e := range chiveevent.Catalogue() {
		if seen[e.Number()] {
			t.Errorf("event %d is defined twice", e.Number())
		}
		seen[e.Number()] = true
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.Number(), e.Level(), e.Text(), e.Advice())
	}
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(page.String()))
}
