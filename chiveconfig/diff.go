package chiveconfig

import (
	"fmt"
	"strings"
)

// Diff returns the lines that differ between two bundles, file by file, with - for removed and + for added lines.
func Diff(before, after Bundle) string {
	out := strings.Builder{}
	writeDiff(&out, BaseFile, before.Base, after.Base)
	sites := append(before.Sites(), after.Sites()...)
	seen := make(map[string]bool)
	for _, site := range sites {
		if seen[site] {
			continue
		}
		seen[site] = true
		old, _ := before.overlay(site)
		fresh, _ := after.overlay(site)
		writeDiff(&out, site+overlaySuffix, old, fresh)
	}
	return out.String()
}

func writeDiff(out *strings.Builder, file, before, after string) {
	if before == after {
		return
	}
	fmt.Fprintf(out, "%s\n", file)
	old, fresh := strings.Split(before, "\n"), strings.Split(after, "\n")
	common := longestCommon(old, fresh)
	i, j := 0, 0
	for i < len(old) || j < len(fresh) {
		switch {
		case i < len(old) && j < len(fresh) && old[i] == fresh[j]:
			i++
			j++
		case j >= len(fresh) || (i < len(old) && common[i+1][j] >= common[i][j+1]):
			fmt.Fprintf(out, "-%s\n", old[i])
			i++
		default:
			fmt.Fprintf(out, "+%s\n", fresh[j])
			j++
		}
	}
}

// longestCommon returns, for each pair of places, how many lines the rests have in common.
func longestCommon(a, b []string) [][]int {
	table := make([][]int, len(a)+1)
	for i := range table {
		table[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}
