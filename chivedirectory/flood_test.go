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

// Guards against unreadable entries that push every other line out of the log.
func TestFloodOfUnreadableEntriesStaysWithinTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		s := chivedirectory.NewService(decodeWord, grace, slog.New(slog.NewTextHandler(&log, nil)))
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
			t.Errorf("%d lines for %d unreadable entries in thirty seconds, want 1 to 60", lines, offset)
		}
		if !regexp.MustCompile(`count=[1-9][0-9]`).MatchString(log.String()) || !strings.Contains(log.String(), "address: is missing") {
			t.Errorf("no line counts how often a key came, with the reason:\n%s", log.String())
		}
	})
}
