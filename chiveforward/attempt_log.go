package chiveforward

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiverequest"
)

// maxErrorBytes bounds the error in a log line, since errors of net/http quote what the endpoint has sent.
const maxErrorBytes = 300

// Proofs that an attempt has not run its request.
const (
	// notRunByRefusal is a response which states that the endpoint did not run the request.
	notRunByRefusal = "refusal"
	// notRunByOtherEndpoint is a response of another endpoint, which now has the address.
	notRunByOtherEndpoint = "misdirected"
	// notRunByWithdrawal means that the endpoint stopped taking requests before the first byte was written.
	notRunByWithdrawal = "withdrawn"
	notRunByNoConn     = "not_connected"
	notRunByNoWrite    = "not_written"
)

// namesOfIdentities maps identities to values of the log field response_names.
var namesOfIdentities = map[chiverequest.Identity]string{
	chiverequest.IdentitySame: "request", chiverequest.IdentityOther: "other", chiverequest.IdentityMissing: "none", chiverequest.IdentityUnstated: "none",
}

// notRunBy returns the proof that the attempt has not run the request; empty if it may have.
func (a *attempt) notRunBy(outcome attemptOutcome) string {
	switch {
	case outcome == attemptRefused:
		return notRunByRefusal
	case outcome == attemptMisdirected:
		return notRunByOtherEndpoint
	case a.mayHaveRun:
		return ""
	case a.connection.withdrawn.Load():
		return notRunByWithdrawal
	case !a.connection.isOpened():
		return notRunByNoConn
	}
	return notRunByNoWrite
}

// framingName returns how the endpoint's response states where its body ends, as it is logged; empty without a response.
func (a *attempt) framingName() string {
	if a.responseNames == "" {
		return ""
	}
	return a.framing.String()
}

// recordAttempt adds the attempt to the request's result and counts its responses.
func (r *requestState) recordAttempt(a *attempt, outcome attemptOutcome) {
	r.forwarder.responses.record(a)
	notRunBy := a.notRunBy(outcome)
	r.result.Tries = append(r.result.Tries, Try{
		Endpoint: a.target.ID, Ended: attemptOutcomeNames[outcome], Touched: a.mayHaveRun && notRunBy == "", Status: a.status, Err: a.err,
		NotRunBy: notRunBy, Kept: a.kept, Through: a.connection.through(), ResponseNames: a.responseNames, Framing: a.framingName(),
	})
}

// logAttemptSent logs an attempt before it is sent, with the reasons for the selection of its endpoint.
func (r *requestState) logAttemptSent(ctx context.Context, a *attempt) {
	attributes := []slog.Attr{
		chiveevent.Request(r.request.ID), slog.Int("attempt", len(r.result.Tries)+1), slog.String("pool", r.request.Pool),
		slog.String("endpoint", a.target.ID), slog.String("address", a.target.Address), slog.String("version", a.target.Version),
		slog.Int64("left_ms", r.remainingTime().Milliseconds()), slog.String("after_event", r.lastEventID),
	}
	chiveevent.AttemptSent.Log(ctx, r.forwarder.options.Logger, append(attributes, a.place.Why()...)...)
}

// logAttemptEnded logs the outcome of the attempt that was recorded last.
func (r *requestState) logAttemptEnded(ctx context.Context, a *attempt, ejectedFor time.Duration) {
	try := r.result.Tries[len(r.result.Tries)-1]
	attributes := []slog.Attr{
		chiveevent.Request(r.request.ID), slog.Int("attempt", len(r.result.Tries)), slog.String("endpoint", try.Endpoint),
		slog.String("ended", try.Ended), slog.Bool("touched", try.Touched), slog.Int("status", try.Status),
		slog.Int("events", r.result.Events), slog.Int64("took_ms", time.Since(a.startedAt).Milliseconds()),
	}
	attributes = append(attributes, try.evidence()...)
	if r.isRepeat(a) {
		attributes = append(attributes, slog.Bool("repeat", true))
	}
	if late := a.lateResponses(); late > 0 {
		attributes = append(attributes, slog.Int64("late_responses", late))
	}
	if ejectedFor > 0 {
		attributes = append(attributes, slog.Int64("endpoint_passed_over_ms", ejectedFor.Milliseconds()))
	}
	if try.Err != nil {
		text := try.Err.Error()
		attributes = append(attributes, slog.String("error", strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")))
	}
	chiveevent.AttemptEnded.Log(ctx, r.forwarder.options.Logger, attributes...)
}
