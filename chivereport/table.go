package chivereport

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// group is what one table's rows are told apart by.
type group struct {
	route string
	rank  int
}

// totals are the counts of one group by reason, and in all.
type totals struct {
	by  map[Reason]int64
	all int64
}

func (r *Report) groups() (names []group, of map[group]*totals) {
	of = make(map[group]*totals)
	for row, n := range r.rows {
		g := group{row.Route, row.Rank}
		if of[g] == nil {
			of[g] = &totals{by: make(map[Reason]int64)}
		}
		of[g].by[row.Reason] += n
		of[g].all += n
	}
	names = slices.SortedFunc(maps.Keys(of), func(a, b group) int {
		return cmp.Or(cmp.Compare(of[b].all, of[a].all), cmp.Compare(a.route, b.route), cmp.Compare(a.rank, b.rank))
	})
	return names, of
}

const percent = 100

// WriteTable prints each route's requests by what became of them, and the worst moments.
func (r *Report) WriteTable(out io.Writer) {
	fmt.Fprintf(out, "%d lines read, %d bad\n", r.lines, r.badLines)
	for _, b := range r.shown {
		fmt.Fprintf(out, "  %s line %d: %s\n", b.File, b.Number, b.Why)
	}
	names, of := r.groups()
	for _, g := range names {
		fmt.Fprintf(out, "\n%s, rank %d: %d requests\n", orNone(g.route), g.rank, of[g].all)
		for reason := range reasons {
			if n := of[g].by[reason]; n > 0 {
				fmt.Fprintf(out, "  %-36s %7d  %5.1f%%%s\n", reason, n, percent*float64(n)/float64(of[g].all), r.worst(g, reason, n))
			}
		}
	}
}

func orNone(route string) string {
	if route == "" {
		return "(no route)"
	}
	return route
}

// worst tells in which window most of a loss fell.
func (r *Report) worst(g group, reason Reason, all int64) string {
	if reason == ReasonNone {
		return ""
	}
	best, most := 0, int64(0)
	for row, n := range r.rows {
		if row.Route == g.route && row.Rank == g.rank && row.Reason == reason && (n > most || (n == most && row.Moment < best)) {
			best, most = row.Moment, n
		}
	}
	return fmt.Sprintf("  most from second %d: %d", best, min(most, all))
}

// WriteJSON prints every row.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(struct {
		Lines    int64            `json:"lines"`
		BadLines int64            `json:"bad_lines"`
		Shown    []BadLine        `json:"first_bad_lines"`
		WindowS  float64          `json:"window_s"`
		Rows     []Count          `json:"rows"`
		Again    map[string]int64 `json:"tokens_read_again_by_endpoint"`
	}{r.lines, r.badLines, r.shown, r.window.Seconds(), r.Counts(), r.again})
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
