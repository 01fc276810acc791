//go:build !race

package chivestream_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chiverequest"
	"chivedrift/chivestand"
	"chivedrift/chivestream"
	"chivedrift/chivewire"
)

// errDown is the error of a log that is down.
var errDown = errors.New("down")

// testReaders is the number of nodes that read the log at their start.
const testReaders = 8

// fakeLog is a log that all nodes share.
type fakeLog struct {
	mu      sync.Mutex
	records []chivelog.KeyedRecord
	// isDown makes calls fail, hangs makes writes wait for their timeout.
	isDown, hangs bool
	puts, tails   int
}

func (l *fakeLog) Put(ctx context.Context, key string, value []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts++
	if l.hangs {
		l.mu.Unlock()
		<-ctx.Done()
		l.mu.Lock()
	}
	if l.isDown || l.hangs {
		return errDown
	}
	l.records = append(l.records, chivelog.KeyedRecord{Key: key, Value: value})
	return nil
}

func (l *fakeLog) Tail(_ context.Context, limit int) ([]chivelog.KeyedRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tails++
	if l.isDown {
		return nil, errDown
	}
	return slices.Clone(l.records[max(len(l.records)-limit, 0):]), nil
}

func (l *fakeLog) set(isDown, hangs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown, l.hangs = isDown, hangs
}

func (l *fakeLog) calls() (puts, tails int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.puts, l.tails
}

// startStoring starts a fleet whose nodes store beginnings in a log; it ends when end is called.
func startStoring(t *testing.T, nodes int, log chivestream.Log) (f *fleet, end func()) {
	t.Helper()
	f = &fleet{network: chivestand.NewNetwork()}
	for i := range nodes {
		mesh := chivewire.NewMesh(fmt.Sprintf("10.0.%d.%d:82", i/200, i%200+1), f.network)
		f.meshes, f.services = append(f.meshes, mesh), append(f.services, chivestream.New(mesh))
		f.members = append(f.members, chivemember.Member{Name: mesh.Self(), Address: mesh.Self(), State: chivemember.Alive, FailureDomain: fmt.Sprintf("z%d", i%3)})
	}
	readers := chivemember.AddressesByHash(f.members)
	readers = readers[:min(testReaders, len(readers))]
	for i, s := range f.services {
		s.SetJournal(chivestream.JournalOptions{
			Log: log, Reads: func() bool { return slices.Contains(readers, f.meshes[i].Self()) }, Readers: testReaders, Logger: slog.New(slog.DiscardHandler),
		})
		s.SetMembers(f.members)
		if err := f.meshes[i].Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return f, func() {
		for i, s := range f.services {
			_ = s.Stop(context.Background())
			_ = f.meshes[i].Stop(context.Background())
		}
	}
}

// beginStreams begins streams at the nodes in turn, with a delay after each.
func (f *fleet) beginStreams(first, count int, delay time.Duration) {
	for i := first; i < first+count; i++ {
		f.services[i%len(f.services)].Begin("red", fmt.Sprint("t", i), chiverequest.Origin{Pool: "p", Version: fmt.Sprint("v", i%2)})
		time.Sleep(delay)
	}
}

// found counts the streams whose origin is known at a node, and checks that it is the right one.
func (f *fleet) found(t *testing.T, node, first, count int) (found int) {
	t.Helper()
	for i := first; i < first+count; i++ {
		lookup := f.services[node].Find(context.Background(), "red", fmt.Sprint("t", i))
		for _, o := range lookup.Origins {
			if want := fmt.Sprint("v", i%2); o.Version != want || o.Pool != "p" {
				t.Errorf("stream %d began at %+v, want version %s", i, o, want)
			}
			found++
		}
	}
	return found
}

// Guards against records of beginnings that end with the nodes, and against calls of the store for each stream or node.
func TestStreamsAreFoundAfterAllNodesEnded(t *testing.T) {
	for _, nodes := range []int{1, 3, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					count, delay = 1000, 5 * time.Millisecond
					// mostPuts is six writes a second for 40 nodes.
					mostPutsPer40 = 6 * int(count*delay/time.Second)
				)
				log := &fakeLog{}
				f, end := startStoring(t, nodes, log)
				f.beginStreams(0, count, delay)
				time.Sleep(time.Second)
				end()
				if puts, tails := log.calls(); puts > mostPutsPer40*((nodes+39)/40) || tails > testReaders {
					t.Errorf("%d writes and %d reads of %d nodes for %d streams in %v", puts, tails, nodes, count, count*delay)
				}
				f, end = startStoring(t, nodes, log)
				time.Sleep(time.Second)
				if found := f.found(t, nodes-1, 0, count); found != count {
					t.Errorf("%d of %d streams found", found, count)
				}
				if lookup := f.services[0].Find(context.Background(), "blue", "t1"); len(lookup.Origins) > 0 {
					t.Errorf("another team's stream: %+v", lookup)
				}
				end()
			})
		})
	}
}

// Guards against streams that wait for the store, and against memory that grows while the store cannot be written.
func TestStoreThatIsDownDelaysNoStream(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprint("hangs ", hangs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const lost, late = 30_000, 100
				log := &fakeLog{isDown: !hangs, hangs: hangs}
				f, end := startStoring(t, 1, log)
				began := time.Now()
				f.beginStreams(0, lost, 0)
				if took := time.Since(began); took > 0 {
					t.Errorf("%d streams waited %v for the store", lost, took)
				}
				time.Sleep(time.Minute)
				if puts, _ := log.calls(); puts > 130 {
					t.Errorf("%d writes in a minute in which the store was down", puts)
				}
				f.beginStreams(lost, late, 0)
				log.set(false, false)
				time.Sleep(10 * time.Second)
				if stored := f.services[0].Counts().Stored; stored < late || stored > 10_000 {
					t.Errorf("%d streams stored after the store came back, of %d that wait at most", stored, 10_000)
				}
				end()
				f, end = startStoring(t, 1, log)
				time.Sleep(time.Second)
				if found := f.found(t, 0, lost, late); found != late {
					t.Errorf("%d of the last %d streams found", found, late)
				}
				end()
			})
		})
	}
}

// Guards against a node that never reads where streams began, since the store was down when it started, and against
// lookups that wait for the store meanwhile.
func TestBeginningsAreReadOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 50
		log := &fakeLog{}
		f, end := startStoring(t, 3, log)
		f.beginStreams(0, count, time.Millisecond)
		time.Sleep(time.Second)
		end()
		log.set(true, false)
		f, end = startStoring(t, 3, log)
		time.Sleep(5 * time.Second)
		began := time.Now()
		if found := f.found(t, 0, 0, 1); found != 0 {
			t.Error("a stream is known although the store is down")
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("a lookup took %v", took)
		}
		log.set(false, false)
		time.Sleep(2 * time.Second)
		if found := f.found(t, 0, 0, count); found != count {
			t.Errorf("%d of %d streams found after the store came back", found, count)
		}
		end()
	})
}

// Guards against an odd record in the topic that hides the others.
func TestOddBatchesHideNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		f, end := startStoring(t, 1, log)
		f.beginStreams(0, 1, time.Second)
		end()
		sound := log.records[0].Value
		odd := [][]byte{nil, {}, {0xc0}, {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {1, 'p', 2, 'v', '1', 0, 5, 1, 2, 3, 4, 5}, []byte("null"), sound[:len(sound)/2], sound[:len(sound)-1], slices.Repeat([]byte{0x91}, 30_000)}
		for _, value := range odd {
			log.records = slices.Insert(log.records, 0, chivelog.KeyedRecord{Key: "odd", Value: value})
		}
		f, end = startStoring(t, 1, log)
		time.Sleep(time.Second)
		if found := f.found(t, 0, 0, 1); found != 1 {
			t.Error("a stream is not found behind odd records")
		}
		end()
	})
}

// Guards against records that end the process, or that are read as others than were written.
func FuzzDecodeBatch(f *testing.F) {
	sound := chivestream.EncodeBatch([]chivestream.Begun{
		{Key: chivestream.KeyOf("red", "t1"), Origin: chiverequest.Origin{Pool: "p", Version: "v1"}},
		{Key: chivestream.KeyOf("red", "t2"), Origin: chiverequest.Origin{Pool: "p", Incarnation: "i"}},
		{Key: chivestream.KeyOf("red", "t3"), Origin: chiverequest.Origin{Pool: "p", Version: "v1"}},
	})
	f.Add(sound)
	f.Add(sound[:len(sound)-3])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		begun, err := chivestream.DecodeBatch(data)
		if err != nil || len(begun) == 0 {
			return
		}
		again, err := chivestream.DecodeBatch(chivestream.EncodeBatch(begun))
		if err != nil || len(again) != len(begun) {
			t.Errorf("%d beginnings, %d after encoding them again: %v", len(begun), len(again), err)
		}
	})
}
