// Package chiverequest defines the representation of a request that is independent of the protocols of callers and
// endpoints: what a caller states in its header, the accepted request and its prompt, and one attempt of it on an
// endpoint. It also defines the interfaces to the implementations of those protocols, which are called dialects.
package chiverequest
