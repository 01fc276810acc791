// Package chivegrant places prompts in large fleets by asking the node that owns the engines. The engines of a pool are
// split into groups; one node owns each group and tracks every request that runs on it, and the other nodes ask that
// node to place a request there.
//
// In a small fleet every node broadcasts its load to all others and places requests locally. The cost of the broadcast
// grows with the square of the fleet size, and when it is sent less often to keep it affordable the data is too old to
// be useful: with 78 nodes a load report arrived every 0.84 s, and the grown kumihan-drift scenario served as many
// requests with no reports at all. Asking an owner costs the same per request at any fleet size. Requests do not wait
// long for an owner: if it does not respond, the node places the request locally and does not ask that owner again for
// a while.
//
// The groups are the leaves of a binary trie over the hashes of the engine ids, so that adding or removing an engine
// changes one leaf. The group for a prompt is selected by descending from the root, choosing each child with a
// probability proportional to the number of engines below it.
package chivegrant
