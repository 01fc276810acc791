package chiverequest

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Identity is what a response states about the request that it answers.
type Identity uint8

const (
	// IdentityMissing is a response that names no request although it has to.
	IdentityMissing Identity = iota
	// IdentityOther is a response that names another request.
	IdentityOther
	// IdentitySame is a response that names the request.
	IdentitySame
	// IdentityUnstated is a response that names no request, of a kind that endpoints need not name one in.
	IdentityUnstated
)

// Matched is the response to a known request. Only Match and MatchSole return one, so that nothing that an endpoint states
// can be read from a response to another request.
type Matched struct {
	response *http.Response
	named    bool
}

// Match returns a response if it is one and answers the request for which the identity was found, else false. first means that its
// connection carried no other request before: only then can a response that names no request be no late copy.
func Match(identity Identity, response *http.Response, first bool) (Matched, bool) {
	if IsJoined(response) {
		return Matched{}, false
	}
	if identity == IdentitySame || (identity == IdentityUnstated && first) {
		return Matched{response: response, named: identity == IdentitySame}, true
	}
	return Matched{}, false
}

// statusLine matches a status line behind other text.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-9][0-9][0-9]\b`)

// HasStatusLine reports whether a text holds the status line of a response.
func HasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}

// IsJoined reports whether a head consists of the start of one response, cut off in its status line or in a field, and of
// another one: it may have the status of the first and name the request of the second.
func IsJoined(response *http.Response) bool {
	if HasStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, HasStatusLine) {
			return true
		}
	}
	return false
}

// IsSuccess reports whether a status is that of a success (2xx).
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// MatchSole returns the response to the only request of a connection.
func MatchSole(response *http.Response) Matched { return Matched{response: response} }

// Status returns the status code of the response.
func (m Matched) Status() int { return m.response.StatusCode }

// Header returns the header of the response.
func (m Matched) Header() http.Header { return m.response.Header }

// Named reports whether the response names its request. Otherwise the next response on its connection cannot be matched.
func (m Matched) Named() bool { return m.named }
