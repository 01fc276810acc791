package chivecapacity_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivefollow"
	"chivedrift/chivekernel"
)

const (
	publishes   = 20
	inForceWait = 18 * time.Second
)

// BenchmarkInForce measures the time from a record on the log to a version in force on the last of 8 and of 64 real nodes.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []int{8, 64} {
		b.Run(fmt.Sprint(size, " nodes"), func(b *testing.B) {
			f := startFleet(b, size, 1)
			defer f.stop()
			version := int64(1)
			for b.Loop() {
				took := make([]float64, 0, publishes)
				for range publishes {
					took = append(took, f.publishNext(b, version).Seconds()*1000)
					version++
				}
				sort.Float64s(took)
				b.ReportMetric(took[len(took)/2], "median-ms")
				b.ReportMetric(took[len(took)-1], "worst-ms")
			}
		})
	}
}

func (f *fleet) publishNext(b *testing.B, parent int64) time.Duration {
	b.Helper()
	followers := make([]*chivefollow.Follower, 0, len(f.nodes))
	for _, node := range f.nodes {
		follower, err := chivekernel.Lookup[*chivefollow.Follower](node.Kernel(), chivefollow.ServiceName)
		if err != nil {
			b.Fatal(err)
		}
		followers = append(followers, follower)
	}
	bundle := targetBundle(0.01)
	bundle.Overlays[0].Site = "here"
	bundle.Base += fmt.Sprintf("# %d\n", parent)
	data, err := chiveconfig.Record{ID: fmt.Sprint("p", parent), Kind: chiveconfig.KindPublish, Parent: parent, Bundle: bundle}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	started := time.Now()
	f.log.Append(chiveconfig.Stream, data)
	for _, follower := range followers {
		for follower.InForce() == nil || follower.InForce().Version() <= parent {
			if time.Since(started) > inForceWait {
				b.Fatalf("version %d is not everywhere after %s", parent+1, inForceWait)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(started)
}
