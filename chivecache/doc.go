// Package chivecache queries which prompt parts the engines have cached when a node begins to place requests on them.
// Without that, a node that has just started or has taken over engines from another node would send prompts to engines
// that have to recompute what other engines have cached.
package chivecache
