// Package chivenode puts the services of one node together and carries it from its start to a planned stop.
package chivenode
