// Package chiveevent is the catalogue of numbered log events and the way to log them.
package chiveevent
