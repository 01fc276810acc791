// Package chivecapacity measures what one node spends and writes docs/CAPACITY.md from the slopes; it holds no code that runs in a node.
package chivecapacity
