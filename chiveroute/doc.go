// Package chiveroute decides where a request goes: which shard of a pool, which node schedules it, which replica of a plain service.
package chiveroute
