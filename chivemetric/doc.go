// Package chivemetric holds the node's tally scope and serves it to scrapers.
package chivemetric
