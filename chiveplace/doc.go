// Package chiveplace decides which endpoint of a pool gets a request: by what its cache is believed to hold, by the work
// that waits there, by its failures, and by the failure domain. It takes typed input and a time and does no I/O.
package chiveplace
