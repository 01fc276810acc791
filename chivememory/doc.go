// Package chivememory bounds the memory that callers' requests take in a process, and decides which request gives way when it is
// used up.
package chivememory
