//go:build !race

package chivedirectory_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
)

// Guards against a line in the log for each heartbeat of an endpoint whose entry another writer overwrites.
func TestUnusableRecordBetweenHeartbeatsIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	runService(t, &log, func(s *chivedirectory.Service) {
		for i := range int64(9) {
			s.Apply([]chivelog.KeyedRecord{record(3*i+1, "a", "p 10.0.0.1:1"), record(3*i+2, "a", fmt.Sprintf("?%d", i)), record(3*i+3, "b", "?")})
			time.Sleep(heartbeat)
		}
	})
	for _, key := range []string{"key=a", "key=b"} {
		if lines := strings.Count(log.String(), key); lines != 1 {
			t.Errorf("%d lines with %s, want 1:\n%s", lines, key, log.String())
		}
	}
}

// Guards against the log and the memory of a node being filled with the text of unusable records.
func TestReasonOfUnusableRecordIsCut(t *testing.T) {
	const mostBytes = 1 << 10
	var log bytes.Buffer
	decode := func(id string, data []byte) (chivedirectory.Endpoint, error) {
		return chivedirectory.Endpoint{}, fmt.Errorf("registration of endpoint %q: state: unknown value %q", id, data)
	}
	s := chivedirectory.NewService(decode, grace, slog.New(slog.NewTextHandler(&log, nil)))
	s.Apply([]chivelog.KeyedRecord{record(1, "a", strings.Repeat("\xff", 60_000))})
	if log.Len() == 0 || log.Len() > mostBytes || !strings.Contains(log.String(), "state: unknown value") {
		t.Errorf("%d bytes were logged, want up to %d with the reason: %.300s", log.Len(), mostBytes, log.String())
	}
}
