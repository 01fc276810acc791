// Package chivenotice passes on what endpoints say of their processes in responses: that they are leaving, or that they
// want no requests for a time.
//
// An endpoint says it to the node whose connection the response comes through. That node may have opened the connection for
// a peer that cannot reach the endpoint itself, and may have opened others for further peers. So the node that reads a
// response tells the peer that it came through, and each of these nodes tells the peers for which it has connections to the
// endpoint open. They keep to a notice like to one of their own.
package chivenotice
