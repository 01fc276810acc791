// Package chivedispatch calls endpoints: it relays streams, notices stalls, resumes broken answers elsewhere and can say for sure what never ran.
package chivedispatch
