// Package chiveroute chooses where a request is served. It splits model pools into shards, picks the shard for a
// request, assigns shards and other keys to the nodes that own them, and picks replicas of plain services.
package chiveroute
