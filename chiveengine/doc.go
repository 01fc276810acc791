// Package chiveengine simulates a model engine on virtual time. It models continuous batching in steps, chunked prefill
// interleaved with the decoding of running requests, priority scheduling, and one memory for running requests and
// cached prompt parts. Experiments and tests run the router's decisions against it; it does no I/O and starts no
// goroutines.
package chiveengine
