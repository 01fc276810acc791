package chiverequest

import (
	"net/http"
	"time"
)

// Asked is what a caller says of its request beside method, path and body.
type Asked struct {
	// ID is the identity of this try of the request.
	ID string
	// Wait is how long the caller waits; zero when it does not say.
	Wait time.Duration
	// Key identifies the team.
	Key string
	// Prompt is nil for requests without one.
	Prompt *Prompt
	// LastEvent is the last event that the caller has of a stream that it wants to go on with.
	LastEvent string
}

// CallerDialect is how a kind of callers speaks.
type CallerDialect interface {
	// Read takes a request's header apart; the error tells the caller which field is wrong.
	Read(header http.Header) (Asked, error)
	// Strip removes what callers must not set themselves and what ends at the router, such as the key.
	Strip(header http.Header)
	// Mark puts a request's identity on an answer of the router's own.
	Mark(header http.Header, id string)
}
