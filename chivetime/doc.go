// Package chivetime converts times between the forms in which documents, forecasts and the runtime hold them.
package chivetime
