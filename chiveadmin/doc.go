// Package chiveadmin serves operators on an address of its own: health, readiness, metrics, state dumps and explanations.
package chiveadmin
