package chivetransfer_test

import (
	"testing"
	"time"

	"chivedrift/chivetransfer"
)

// Guards against a node without a document that asks a peer again and again, without a pause, which was busy and then could not be reached.
func TestBusyPeerThatIsNotReachedIsNotAskedAgain(t *testing.T) {
	const noDocument = -1
	now := time.Now()
	r := chivetransfer.NewReceiver()
	r.Hear("p", 5)
	if peer, _, ok := r.Next(now, noDocument); !ok || peer != "p" {
		t.Fatalf("got %q %v, want a question to the only source", peer, ok)
	}
	r.Refused(now, "p", chivetransfer.Refusal{Version: 5})
	now = now.Add(time.Second)
	if _, _, ok := r.Next(now, noDocument); !ok {
		t.Fatal("a busy peer is not asked again after a second")
	}
	r.Forget("p")
	if peer, _, ok := r.Next(now, noDocument); ok {
		t.Errorf("%q is asked again at once though it is not reached", peer)
	}
}
