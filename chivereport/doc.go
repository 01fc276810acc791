// Package chivereport counts the outcomes of requests from the logs of the nodes: which requests were lost or late, on
// which route, when and why. It writes them as a table, as JSON and as an HTML page with plots.
//
// Lines are grouped by request while they are read, so that memory use depends on the number of requests in progress
// and not on the length of the logs.
package chivereport
