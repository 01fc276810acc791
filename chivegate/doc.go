// Package chivegate serves callers: it authenticates, classifies and bounds each request, hands it to the dispatcher and tells its outcome.
package chivegate
