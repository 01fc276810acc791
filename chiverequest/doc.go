// Package chiverequest holds the types that a request travels in between the dialects at its two ends: what a caller asked,
// the accepted request, one attempt of it, and how callers and endpoints are spoken to.
package chiverequest
