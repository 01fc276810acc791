// Package chiveversion holds the software version of each endpoint. Nodes that read the platform's store learn it from
// the endpoints' registrations; the other nodes ask their peers for the versions of the endpoints that they know.
//
// Versions have messages of their own, so that nodes of earlier releases still understand the changes of endpoints.
package chiveversion
