// Package chiveduration forecasts how long requests last from those that have ended: as a bound that a request exceeds with a
// given chance.
package chiveduration
