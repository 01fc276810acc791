// Package chivedistance estimates how long messages to other nodes and to failure domains take. It is the only place
// that turns a distance into the time to wait for a reply.
//
// The estimates come from replies that pass anyway. All peers of one region count as equally far, and those of this
// node's own region as near. A region that no reply has come from yet is assumed to be far. A peer that is slow or silent
// does not become far: the estimate of its region is the median over the peers there, of the shortest of their recent
// round trips. A region that is cut off keeps its last estimate.
package chivedistance
