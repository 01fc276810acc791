package chiverequest

import "net/http"

// Health is the result of a health check, as far as the response shows it.
type Health uint8

const (
	// HealthAlive is a response from the process that was to be checked.
	HealthAlive Health = iota
	// HealthOther is a response from another process at the same address.
	HealthOther
	// HealthGateway is a response from a proxy that cannot reach the process.
	HealthGateway
	// HealthUnproved is a response that was cut before it stated which process it is from.
	HealthUnproved
)

// HealthDialect implements the health checks of a kind of endpoints.
type HealthDialect interface {
	// HealthCheck sets the header of a health check of the endpoint with an ID, and returns the method and target of
	// the HTTP request.
	HealthCheck(header http.Header, id string) (method, target string)
	// JudgeHealth classifies the response to a health check of one incarnation of an endpoint.
	JudgeHealth(id, incarnation string, response *http.Response) Health
}

// IsGateway reports whether a status is one that a proxy returns if it cannot reach the process behind it.
func IsGateway(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}
