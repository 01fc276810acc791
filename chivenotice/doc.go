// Package chivenotice forwards notices, which endpoints state about their processes in responses: that they are leaving, or
// that they want no requests for a time.
//
// A notice is addressed to the node that holds the connection to the endpoint. That node may have opened it for a peer that
// cannot reach the endpoint itself, and may have opened others for further peers. So the node that reads a response
// notifies the peer that it came through, and each of these nodes notifies the peers for which it has connections to the
// endpoint open. They treat such a notice as one of their own.
package chivenotice
