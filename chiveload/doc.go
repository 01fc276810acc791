// Package chiveload exchanges load reports between nodes: what each node is running on which endpoints, and which
// prompts it has sent there. With these each node places requests by itself, but considers the load and the prompt
// caches that the whole fleet has caused.
//
// A node reports to all other nodes. In a large fleet each engine has an owner, and reports on an engine go only there.
package chiveload
