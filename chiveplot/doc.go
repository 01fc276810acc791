// Package chiveplot draws plots as inline SVG for self-contained HTML pages.
package chiveplot
