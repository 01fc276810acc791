// Package chiveengine is a model engine on virtual time: batches that grow step by step, prompts read in chunks between the tokens
// of running requests, the urgent first, and one memory for running requests and cached prompt parts. Experiments and tests
// play the router's decisions against it; it does no I/O and starts no goroutine.
package chiveengine
