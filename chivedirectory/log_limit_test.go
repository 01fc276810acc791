//go:build !race

package chivedirectory_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chivedrift/chivedirectory"
	"chivedrift/chivelog"
)

// Guards against unusable records that push every other line out of the log.
func TestUnusableRecordsDoNotFloodLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		s := chivedirectory.NewService(decodeText, grace, slog.New(slog.NewTextHandler(&log, nil)))
		offset := int64(0)
		for range 30 {
			for key := range 100 {
				offset++
				s.Apply([]chivelog.KeyedRecord{record(offset, fmt.Sprintf("k%d", key), "?")})
			}
			time.Sleep(time.Second)
		}
		lines := strings.Count(log.String(), "\n")
		if lines == 0 || lines > 60 {
			t.Errorf("%d lines for %d unusable records in 30 s, want 1 to 60", lines, offset)
		}
		if !regexp.MustCompile(`count=[1-9][0-9]`).MatchString(log.String()) || !strings.Contains(log.String(), "address: is missing") {
			t.Errorf("no line has the reason and the count of unusable records of a key:\n%s", log.String())
		}
	})
}

// Guards against a node of a large fleet that logs thousands of lines when it first receives the endpoints.
func TestManyChangesAreLoggedAsSummary(t *testing.T) {
	const endpoints = 2000
	var log bytes.Buffer
	s := chivedirectory.NewService(decodeText, grace, slog.New(slog.NewTextHandler(&log, nil)))
	var records []chivelog.KeyedRecord
	for i := range endpoints {
		records = append(records, record(int64(i+1), fmt.Sprintf("k%d", i), "pool 10.0.0.1:80"))
	}
	s.Apply(records)
	if lines := strings.Count(log.String(), "\n"); lines != 1 || !strings.Contains(log.String(), fmt.Sprintf("ready=%d", endpoints)) {
		t.Errorf("%d lines for %d endpoints registered at once, want 1: %.300s", lines, endpoints, log.String())
	}
	s.Apply([]chivelog.KeyedRecord{record(endpoints+1, "later", "pool 10.0.0.2:80")})
	if !strings.Contains(log.String(), "endpoint=later") {
		t.Error("no line for a single endpoint")
	}
}

// Guards against a wrong entry that keeps most requests from an endpoint without a line in the log, and against a line for each
// time that it is written.
func TestTooLongWarmUpIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	decode := func(id string, _ []byte) (chivedirectory.Endpoint, error) {
		return chivedirectory.Endpoint{ID: id, Pool: "pool", Address: "10.0.0.1:80", WarmUp: 10 * time.Minute}, nil
	}
	s := chivedirectory.NewService(decode, grace, slog.New(slog.NewTextHandler(&log, nil)))
	for offset := range int64(3) {
		s.Apply([]chivelog.KeyedRecord{record(offset+1, "e0", "written again")})
	}
	if lines := strings.Count(log.String(), "event=832"); lines != 1 {
		t.Errorf("%d lines, want 1:\n%s", lines, log.String())
	}
}
