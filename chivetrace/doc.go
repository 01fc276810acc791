// Package chivetrace assembles the trace of one request from the log lines of several processes: the decisions that
// were made, and the configuration, members and endpoints that the deciding processes knew at that time.
package chivetrace
