// Package chiveentry serves callers in whatever dialect they speak: it finds the route, checks the key and the bounds of
// the configuration in force, hands the request to the forwarder and tells its outcome.
package chiveentry
