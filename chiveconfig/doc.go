// Package chiveconfig holds the operators' configuration: one base with an overlay for each site, checked, merged, versioned and accepted in log order.
package chiveconfig
