package chivefollow_test

import (
	"context"
	"log/slog"
	"os"
	"testing"
	"time"

	"chivedrift/chiveconfig"
	"chivedrift/chivefollow"
	"chivedrift/chivelog"
	"chivedrift/chivemember"
	"chivedrift/chivestand"
	"chivedrift/chivewire"
)

// oneRecord is a log with one record.
type oneRecord []byte

func (oneRecord) Append(context.Context, string, []byte) (int64, error) { return 0, nil }

func (o oneRecord) Read(ctx context.Context, _ string, from int64, _ time.Duration) (chivelog.Batch, error) {
	if from > 0 {
		<-ctx.Done()
		return chivelog.Batch{}, ctx.Err()
	}
	return chivelog.Batch{Records: []chivelog.Record{{Data: o}}, Next: 1}, nil
}

type nobody struct{}

func (nobody) Members() []chivemember.Member { return nil }

// Guards against a 401 for a valid key from a node that reports ready before its services have the configuration.
func TestVersionIsInForceOnceAllAreTold(t *testing.T) {
	base, err := os.ReadFile("testdata/base.yaml")
	if err != nil {
		t.Fatal(err)
	}
	record := chiveconfig.Record{ID: "r", Kind: chiveconfig.KindPublish, Author: "test", Bundle: chiveconfig.Bundle{
		Base: string(base), Overlays: []chiveconfig.Overlay{{Site: "here", Text: "{}\n"}},
	}}
	data, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f := chivefollow.New(chivefollow.Options{
		Site: "here", Self: "n", Retention: time.Hour, Log: oneRecord(data), Mesh: chivewire.NewMesh("10.0.0.1:1", chivestand.NewNetwork()),
		Members: nobody{}, Logger: slog.New(slog.DiscardHandler),
	})
	told := make(chan *chivefollow.InForce, 1)
	f.OnChange(func(*chivefollow.InForce) { told <- f.InForce() })
	if err := f.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer f.Stop(context.Background())
	select {
	case shown := <-told:
		if shown != nil {
			t.Errorf("version %d was in force while a service was still being told of it", shown.Version())
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the version did not come")
	}
	for end := time.Now().Add(5 * time.Second); f.InForce() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the version did not come into force")
		}
	}
}
