// Package chiveevent defines the numbered log events of a node and writes them without blocking its requests.
package chiveevent
