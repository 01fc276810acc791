// Package chivegossip passes the newest routing table, and what is known of the endpoints, from node to node: a node that the
// platform's store turns away still learns within a second or two what has changed.
package chivegossip
