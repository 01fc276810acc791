// Package chiveload tells the nodes what each has running on the endpoints and which prompts it has sent where, so that
// each decides alone and yet with the load and the caches of all in mind.
package chiveload
