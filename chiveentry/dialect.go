package chiveentry

import (
	"net/http"
	"time"

	"chivedrift/chiveplace"
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
	Prompt *chiveplace.Prompt
	// LastEvent is the last event that the caller has of a stream that it wants to go on with.
	LastEvent string
}

// Dialect is how a kind of callers speaks.
type Dialect interface {
	// Read takes a request's header apart; the error tells the caller which field is wrong.
	Read(header http.Header) (Asked, error)
	// Strip removes what callers must not set themselves and what ends at the router, such as the key.
	Strip(header http.Header)
	// Mark puts a request's identity on an answer of the router's own.
	Mark(header http.Header, id string)
}

// connectionFields belong to one connection and are never passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect",
}

// dropConnectionFields removes what concerns one connection only, also the fields that it names itself.
func dropConnectionFields(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range connectionFields {
		header.Del(name)
	}
}
