// Package chiveresidency decides in which regions, and so in which failure domains, a request may be served.
package chiveresidency
