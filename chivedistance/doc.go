// Package chivedistance estimates how long messages to other nodes and to failure domains take. It is the only place
// that turns a distance into the time to wait for a reply.
//
// The estimates come from replies that pass anyway. Peers of this node's own region count as near until they are
// measured; a region that no reply has come from yet is assumed to be far. A peer that is slow or silent does not
// become far: its estimate follows the shortest of its recent round trips, and those of other peers in its region.
package chivedistance
