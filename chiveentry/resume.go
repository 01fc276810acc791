package chiveentry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chiverequest"
	"chivedrift/chivestream"
)

// retryAfterUnknownOrigin is when to try again to take up a stream whose origin is not known: the nodes that know it may
// have been out of reach.
const retryAfterUnknownOrigin = time.Second

// Streams looks up where streams began.
type Streams interface {
	// Find looks up a stream of a team, named by the caller's attempt that brought its first event.
	Find(ctx context.Context, team, attempt string) chivestream.Lookup
}

// Versions looks up the software versions of the endpoints of a pool.
type Versions interface {
	// FindSole returns the version of all endpoints of a pool; ok is false if there are several or one may not be known.
	FindSole(ctx context.Context, pool string) (version string, ok bool)
	// Several reports whether the endpoints of a pool are known to have several versions.
	Several(pool string) bool
}

// How a node knows the software version of a stream, as it is logged.
const (
	originRecord = "record"
	originSole   = "sole"
	originMoved  = "moved"
)

// setOrigin finds out at which software version the stream began that a caller takes up, and limits the request to it. It
// refuses the request if that is not known and the stream could go on at another version.
func (e *Entry) setOrigin(ctx context.Context, request *chiverequest.Request) error {
	if e.options.Streams == nil || (request.LastEvent == "" && request.Resumes == "") {
		return nil
	}
	known, ok := e.findOrigin(ctx, request)
	if !ok {
		reason := "the software version that began the stream is not known here, and it is not certain that its pool had no other"
		if e.options.Versions.Several(request.Pool) {
			reason = "the software version that began the stream is not known here, and its pool has several"
		}
		f := newRefusal(http.StatusServiceUnavailable, "stream_origin_unknown", reason+"; begin it again if this persists")
		f.RetryAfter = retryAfterUnknownOrigin
		return f
	}
	version := ""
	if request.Origin != nil {
		version = request.Origin.Version
	}
	chiveevent.StreamTakenUp.Log(ctx, e.options.Logger, chiveevent.Request(request.ID), slog.String("resumes", request.Resumes), slog.String("after_event", request.LastEvent),
		slog.String("pool", request.Pool), slog.String("version", version), slog.String("origin", known))
	return nil
}

// findOrigin sets the origin of a stream that a caller takes up, if only endpoints of one version may go on with it, and
// the pool to the one that began it. It returns how that is known, and false if it is not.
func (e *Entry) findOrigin(ctx context.Context, request *chiverequest.Request) (known string, ok bool) {
	if request.Resumes == "" {
		return e.limitToSole(ctx, request)
	}
	lookup := e.options.Streams.Find(ctx, request.Team, request.Resumes)
	if origin := originFor(request, lookup.Origins); origin != nil {
		request.Pool, request.Origin = origin.Pool, origin
		return originRecord, true
	}
	if len(lookup.Origins) > 0 {
		return originMoved, true
	}
	if !lookup.Answered {
		return "", false
	}
	return e.limitToSole(ctx, request)
}

// limitToSole limits a request to the version that all endpoints of its pool have, and returns false if there are several or
// one may not be known.
func (e *Entry) limitToSole(ctx context.Context, request *chiverequest.Request) (known string, ok bool) {
	version, ok := e.options.Versions.FindSole(ctx, request.Pool)
	if !ok {
		return "", false
	}
	request.Origin = &chiverequest.Origin{Pool: request.Pool, Version: version}
	return originSole, true
}

// originFor returns the origin in the pool that was chosen for a request, or else in another pool of its route; nil if the
// route has no pool any more that wrote events of the stream.
func originFor(request *chiverequest.Request, origins []chiverequest.Origin) *chiverequest.Origin {
	var other *chiverequest.Origin
	for i, o := range origins {
		switch {
		case o.Pool == request.Pool:
			return &origins[i]
		case request.Route.SendsTo(o.Pool):
			other = &origins[i]
		}
	}
	return other
}
