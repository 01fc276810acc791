// Package chiveadmin serves a node's operators on a separate address: health, readiness, metrics, state dumps,
// profiles and explanations of recent requests.
package chiveadmin
