package chivereport

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// group identifies one table: the requests of a route with the same rank.
type group struct {
	route string
	rank  int
}

// totals are the numbers of requests of one group, by reason and in total.
type totals struct {
	byReason map[Reason]int64
	total    int64
}

// groups returns the groups, sorted by descending number of requests, and their totals.
func (r *Report) groups() (sorted []group, totalsByGroup map[group]*totals) {
	totalsByGroup = make(map[group]*totals)
	for row, n := range r.rows {
		g := group{row.Route, row.Rank}
		if totalsByGroup[g] == nil {
			totalsByGroup[g] = &totals{byReason: make(map[Reason]int64)}
		}
		totalsByGroup[g].byReason[row.Reason] += n
		totalsByGroup[g].total += n
	}
	sorted = slices.SortedFunc(maps.Keys(totalsByGroup), func(a, b group) int {
		return cmp.Or(cmp.Compare(totalsByGroup[b].total, totalsByGroup[a].total), cmp.Compare(a.route, b.route), cmp.Compare(a.rank, b.rank))
	})
	return sorted, totalsByGroup
}

const percent = 100

// WriteTable writes the number of requests by route, rank and reason, and the worst time window of each reason.
func (r *Report) WriteTable(out io.Writer) {
	fmt.Fprintf(out, "%d lines read, %d bad\n", r.lines, r.badLines)
	for _, b := range r.firstBadLines {
		fmt.Fprintf(out, "  %s line %d: %s\n", b.File, b.Number, b.Why)
	}
	groups, totalsByGroup := r.groups()
	for _, g := range groups {
		fmt.Fprintf(out, "\n%s, rank %d: %d requests\n", routeLabel(g.route), g.rank, totalsByGroup[g].total)
		for reason := range reasonCount {
			if n := totalsByGroup[g].byReason[reason]; n > 0 {
				fmt.Fprintf(out, "  %-36s %7d  %5.1f%%%s\n", reason, n, percent*float64(n)/float64(totalsByGroup[g].total), r.worstWindow(g, reason, n))
			}
		}
	}
}

func routeLabel(route string) string {
	if route == "" {
		return "(no route)"
	}
	return route
}

// worstWindow describes the time window with the most requests of a group and reason.
func (r *Report) worstWindow(g group, reason Reason, total int64) string {
	if reason == ReasonNone {
		return ""
	}
	start, requests := 0, int64(0)
	for row, n := range r.rows {
		if row.Route == g.route && row.Rank == g.rank && row.Reason == reason && (n > requests || (n == requests && row.Moment < start)) {
			start, requests = row.Moment, n
		}
	}
	return fmt.Sprintf("  most from second %d: %d", start, min(requests, total))
}

// WriteJSON writes all rows as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(struct {
		Lines          int64            `json:"lines"`
		BadLines       int64            `json:"bad_lines"`
		FirstBadLines  []BadLine        `json:"first_bad_lines"`
		WindowS        float64          `json:"window_s"`
		Rows           []Count          `json:"rows"`
		RepeatedTokens map[string]int64 `json:"tokens_read_again_by_endpoint"`
	}{r.lines, r.badLines, r.firstBadLines, r.window.Seconds(), r.Counts(), r.repeatedTokens})
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
