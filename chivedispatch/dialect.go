package chivedispatch

import (
	"net/http"
	"time"

	"chivedrift/chiverequest"
)

// NotRunHeader is the response header that an endpoint sets to "true" when it refuses a request without having run any
// of it.
const NotRunHeader = "Endpoint-Not-Run"

const requestIDHeader = "X-Request-Id"

// dialect implements the protocol of the endpoints that are listed in the router's own configuration. Their responses
// need not identify the request they belong to.
type dialect struct{}

// bodyProvider is implemented by the Source of requests whose body differs between attempts.
type bodyProvider interface {
	requestBody() ([]byte, error)
}

// Prepare sets the request ID header and returns the body of an attempt.
func (dialect) Prepare(header http.Header, attempt chiverequest.Send) ([]byte, error) {
	header.Set(requestIDHeader, attempt.Request.ID)
	if source, ok := attempt.Request.Source.(bodyProvider); ok {
		return source.requestBody()
	}
	return attempt.Request.Body, nil
}

// Identify compares the request ID in a response, if there is one, with the request's.
func (dialect) Identify(request *chiverequest.Request, response *http.Response) chiverequest.Identity {
	switch response.Header.Get(requestIDHeader) {
	case "":
		return chiverequest.IdentityUnstated
	case request.ID:
		return chiverequest.IdentitySame
	}
	return chiverequest.IdentityOther
}

// Judge distinguishes a refusal that proves that nothing ran from all other responses.
func (dialect) Judge(response chiverequest.Matched) chiverequest.Verdict {
	if response.Status() != http.StatusOK && response.Header().Get(NotRunHeader) == "true" {
		return chiverequest.VerdictNotRun
	}
	return chiverequest.VerdictAnswer
}

// Limits returns none: these engines state no limits.
func (dialect) Limits(chiverequest.Matched) (chiverequest.Limits, error) {
	return chiverequest.Limits{}, nil
}

// Notice returns none: these engines refuse requests while they are draining.
func (dialect) Notice(chiverequest.Matched) (chiverequest.Notice, error) {
	return chiverequest.Notice{}, nil
}

// WarmUp returns none: these engines take all requests as soon as they are ready.
func (dialect) WarmUp(chiverequest.Matched) (time.Duration, error) { return 0, nil }

// HealthCheck returns OPTIONS *, which has no side effects and needs no dedicated path on the endpoint.
func (dialect) HealthCheck(http.Header, string) (method, target string) {
	return http.MethodOptions, "*"
}

// JudgeHealth treats every response as the endpoint's own, except a gateway error without NotRunHeader: that comes from
// a proxy that cannot reach the process.
func (dialect) JudgeHealth(_, _ string, response *http.Response) chiverequest.Health {
	if chiverequest.IsGateway(response.StatusCode) && response.Header.Get(NotRunHeader) == "" {
		return chiverequest.HealthGateway
	}
	return chiverequest.HealthAlive
}
