// Package chivekernel manages the services of a node: they register under a name, look each other up by name, start
// in order of registration and stop in reverse order. It also runs the background goroutines of services.
package chivekernel
