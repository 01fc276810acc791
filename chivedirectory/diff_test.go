package chivedirectory_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
)

// Guards against listeners whose state differs from the directory.
func TestDiffsMatchDirectory(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := chivedirectory.NewService(nil, time.Millisecond, slog.New(slog.DiscardHandler))
		known := make(map[string]chivedirectory.Endpoint)
		s.OnChange(func(diff chivedirectory.Diff) {
			for _, e := range diff.Gone {
				if known[e.ID] != e {
					t.Fatalf("seed %d: %+v was removed, the listener knew %+v", seed, e, known[e.ID])
				}
				delete(known, e.ID)
			}
			for _, e := range diff.Changed {
				if known[e.ID] == e {
					t.Fatalf("seed %d: %+v was reported as changed and is the same", seed, e)
				}
				known[e.ID] = e
			}
		})
		for step := range 60 {
			var update chivedirectory.Update
			for range random.IntN(4) {
				update.Changes = append(update.Changes, randomChange(random, step))
			}
			if random.IntN(8) == 0 {
				update.Whole, update.End = true, chivelog.Position(step)
			}
			s.Learn(update, "test")
			checkKnown(t, seed, s, known)
		}
	}
}

func randomChange(random *rand.Rand, step int) chivedirectory.Change {
	return chivedirectory.Change{
		Position: chivelog.Position(max(step-random.IntN(3), 0)), Gone: random.IntN(4) == 0, Read: true,
		Endpoint: chivedirectory.Endpoint{
			ID: fmt.Sprint(random.IntN(6)), Pool: "p", Address: fmt.Sprint(random.IntN(3)), State: chivedirectory.State(random.IntN(2)), Born: int64(random.IntN(3)),
		},
	}
}

// checkKnown compares what a listener knows with what the directory sends to a peer without any endpoints.
func checkKnown(t *testing.T, seed uint64, s *chivedirectory.Service, known map[string]chivedirectory.Endpoint) {
	t.Helper()
	var want, got []string
	for _, c := range s.Update(-1).Changes {
		if !c.Gone && !c.Missing {
			want = append(want, fmt.Sprintf("%+v", c.Endpoint))
		}
	}
	for _, e := range known {
		got = append(got, fmt.Sprintf("%+v", e))
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(want, got) {
		t.Fatalf("seed %d: listener knows\n%s\ndirectory has\n%s", seed, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
