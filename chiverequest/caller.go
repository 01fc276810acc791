package chiverequest

import (
	"net/http"
	"time"
)

// Asked holds what a caller states about its request in the header.
type Asked struct {
	// ID identifies this attempt of the caller; a retry has another ID.
	ID string
	// Wait is the caller's timeout; zero if it states none.
	Wait time.Duration
	// Key is the API key of the team.
	Key string
	// Prompt describes the prompt of a model request; nil if there is none.
	Prompt *Prompt
	// LastEvent is the ID of the last event that the caller received of a stream that it wants to resume.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of that stream; empty if it names none.
	Resumes string
}

// CallerDialect implements the header conventions of a kind of callers.
type CallerDialect interface {
	// Read parses the header of a request; the error, which is sent to the caller, names the invalid field.
	Read(header http.Header) (Asked, error)
	// Strip removes the fields that callers must not set and those meant for the router only, such as the key.
	Strip(header http.Header)
	// Mark sets the request ID in the header of a response that the router itself generates.
	Mark(header http.Header, id string)
}
