// Package chivedirectory knows the endpoints of all pools: which are ready, which are leaving, which are gone, and what a
// missing entry means while the platform's store is away.
package chivedirectory
