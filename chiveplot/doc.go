// Package chiveplot draws plots as pieces of HTML pages that need nothing beside themselves.
package chiveplot
