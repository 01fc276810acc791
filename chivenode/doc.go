// Package chivenode assembles a router node from its services. A node accepts requests from callers, places them on
// endpoints and shares state with the other nodes. The package starts the services, reports when the node is ready and
// drains requests in flight on a planned stop.
//
// Node reads its configuration from the platform's log; StoreNode reads configuration and endpoints from the platform's
// metadata store.
package chivenode
