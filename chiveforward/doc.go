// Package chiveforward carries a request to an endpoint and its answer back, whatever dialect callers and endpoints speak:
// attempts, proof that nothing ran, resumption of streams, deadlines and the budget of repeats stand here once.
package chiveforward
