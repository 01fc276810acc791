// Package chivering joins goroutines by bounded rings that answer at once when full and make their depth visible.
package chivering
