// Package chiveresidency implements data residency: it determines in which regions, and therefore in which failure
// domains, a request may be served.
package chiveresidency
