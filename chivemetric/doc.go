// Package chivemetric holds the root scope of a node's metrics and serves them to Prometheus scrapers.
package chivemetric
