// Package chivereport tells from the nodes' logs what became of the requests: which were lost or late, on which route, when and why.
// Lines are joined by request as they are read, so that logs of any length need no more memory than the requests under way.
package chivereport
