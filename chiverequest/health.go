package chiverequest

import "net/http"

// Health is what the answer to a health check says.
type Health uint8

const (
	// HealthAlive is an answer of the process that was meant.
	HealthAlive Health = iota
	// HealthOther is an answer of another process at the address.
	HealthOther
	// HealthGateway is a proxy's answer that it does not reach the process.
	HealthGateway
)

// HealthDialect is how a kind of endpoints is asked whether a process is alive.
type HealthDialect interface {
	// HealthCheck adds what a health check of an endpoint, by its id, needs to the header, and returns its method and target.
	HealthCheck(header http.Header, id string) (method, target string)
	// JudgeHealth returns what the answer to a health check means for an incarnation of an endpoint.
	JudgeHealth(id, incarnation string, response *http.Response) Health
}

// IsGateway reports whether a status is one by which a proxy says that it does not reach the process behind it.
func IsGateway(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}
