// Package chivecommand is the command line of chivedrift: one verb a file, each found through one table.
package chivecommand
