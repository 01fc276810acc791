// Package chiverelay connects a node to endpoints, directly or through a peer. A node that has lost its own links to
// endpoints while callers, peers and the store still reach it, serves its callers over connections that its peers open
// for it.
//
// The peer passes on bytes and decides nothing: the request stays with the node that accepted it, with its attempts,
// its limits and its outcome. The bytes travel in the bodies of an HTTP request and its response, so that a connection
// that breaks off on the way is told apart from one that the endpoint has closed.
package chiverelay
