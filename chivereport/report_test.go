package chivereport_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"chivedrift/chivereport"
)

// reasonFor returns the reason that the report derives from the fields of one request's attempt and end.
func reasonFor(t *testing.T, sent, end string) chivereport.Reason {
	t.Helper()
	r := chivereport.New(2 * time.Second)
	lines := `n {"time":"2026-01-01T00:00:00Z","event":505,"request":"a","route":"x","target_ms":600,"pause_ms":200}` + "\n"
	if sent != "" {
		lines += fmt.Sprintf(`n {"time":"2026-01-01T00:00:00Z","event":506,"request":"a","endpoint":"e",%s}`+"\n", sent)
	}
	lines += fmt.Sprintf(`n {"time":"2026-01-01T00:00:01Z","request":"a","route":"x",%s}`+"\n", end)
	if err := r.Read(strings.NewReader(lines), "test"); err != nil {
		t.Fatal(err)
	}
	r.Finish()
	counts := r.Counts()
	if len(counts) != 1 || counts[0].Requests != 1 {
		t.Fatalf("counted %+v, want exactly one request", counts)
	}
	return counts[0].Reason
}

func TestReasons(t *testing.T) {
	sent := `"tokens_to_read":1000,"tokens_ahead":0,"tokens_again":0,"expected_ms":500`
	for _, c := range []struct {
		sent, end string
		want      chivereport.Reason
	}{
		{sent, `"event":504,"outcome":"completed","first_ms":100`, chivereport.ReasonNone},
		{sent, `"event":504,"outcome":"completed","first_ms":100,"pause_ms":201`, chivereport.ReasonPaused},
		{sent, `"event":504,"outcome":"completed","first_ms":700`, chivereport.ReasonOwnRead},
		{`"tokens_to_read":1000,"tokens_ahead":5000,"expected_ms":500`, `"event":504,"outcome":"completed","first_ms":700`, chivereport.ReasonOthersRead},
		{`"tokens_to_read":1000,"tokens_again":900,"expected_ms":500`, `"event":504,"outcome":"completed","first_ms":700`, chivereport.ReasonReadAgain},
		{`"tokens_to_read":1000,"expected_ms":50`, `"event":504,"outcome":"completed","first_ms":700`, chivereport.ReasonSlow},
		{"", `"event":504,"outcome":"completed","first_ms":700`, chivereport.ReasonUnknown},
		{"", `"event":508,"outcome":"not-run","code":"no_place"`, chivereport.ReasonRefusedFull},
		{"", `"event":508,"outcome":"not-run","code":"no_place","expected_ms":600`, chivereport.ReasonRefusedInTime},
		{"", `"event":508,"outcome":"not-run","code":"no_place","expected_ms":601`, chivereport.ReasonRefusedLate},
		{sent, `"event":508,"outcome":"not-run","code":"endpoint_refused"`, chivereport.ReasonEndpointFull},
		{sent, `"event":508,"outcome":"unknown","code":"endpoint_broken","events":3`, chivereport.ReasonEndpointLost},
		{sent, `"event":508,"outcome":"unknown","code":"endpoints_ended"`, chivereport.ReasonHeld},
		{"", `"event":508,"outcome":"not-run","code":"endpoints_ended"`, chivereport.ReasonHeld},
		{sent, `"event":508,"outcome":"failed","status":500`, chivereport.ReasonEndpointError},
		{sent, `"event":508,"outcome":"unknown","code":"caller_gone"`, chivereport.ReasonCallerLeftEarly},
		{sent, `"event":508,"outcome":"unknown","code":"caller_gone","events":2`, chivereport.ReasonCallerLeft},
		{sent, `"event":508,"outcome":"unknown","code":"deadline_passed"`, chivereport.ReasonDeadline},
		{sent, `"event":508,"outcome":"unknown","code":"new_code"`, chivereport.ReasonUnknown},
		{sent, `"event":503,"ended":"complete"`, chivereport.ReasonNotEnded},
	} {
		if got := reasonFor(t, c.sent, c.end); got != c.want {
			t.Errorf("%s, %s: %q, want %q", c.sent, c.end, got, c.want)
		}
	}
}

// Guards against reports that omit the unfinished requests of a node that crashed and started again.
func TestUnfinishedRequestsOfARestartedNodeAreCounted(t *testing.T) {
	r := chivereport.New(time.Second)
	testLog := `n1 {"time":"2026-01-01T00:00:00Z","event":505,"request":"a","route":"x"}
n2 {"time":"2026-01-01T00:00:00Z","event":505,"request":"b","route":"x"}
n1 {"time":"2026-01-01T00:00:01Z","event":100}
`
	if err := r.Read(strings.NewReader(testLog), "test"); err != nil {
		t.Fatal(err)
	}
	if counts := r.Counts(); len(counts) != 1 || counts[0].Reason != chivereport.ReasonNodeLost || counts[0].Requests != 1 {
		t.Errorf("counted %+v, want only the request of the restarted node", counts)
	}
}

func TestPageIsSelfContainedAndEscaped(t *testing.T) {
	r := chivereport.New(time.Second)
	if err := r.Read(strings.NewReader(`n {"time":"2026-01-01T00:00:00Z","event":508,"request":"a","route":"<x>","outcome":"unknown"}`), "test"); err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := r.WritePage(&page); err != nil {
		t.Fatal(err)
	}
	if text := page.String(); strings.Contains(text, "src=") || strings.Contains(text, "<x>") || strings.Count(text, "<svg") != 4 {
		t.Errorf("the page has %d plots of 4, refers to other files, or does not escape names", strings.Count(text, "<svg"))
	}
}

// FuzzRead checks that the report can be read and written for any input.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`n {"time":"2026-01-01T00:00:00Z","event":505,"request":"a"}` + "\n{\n\x00{\"event\":1e999}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := chivereport.New(time.Second)
		if err := r.Read(bytes.NewReader(data), "fuzz"); err != nil {
			t.Fatal(err)
		}
		r.Finish()
		var out bytes.Buffer
		r.WriteTable(&out)
		if err := r.WriteJSON(&out); err != nil {
			t.Fatal(err)
		}
	})
}
