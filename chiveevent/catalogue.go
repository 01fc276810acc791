package chiveevent

import (
	"log/slog"
)

// The 100s are the node's life, the 200s configuration, the 300s membership, the 400s scheduling, the 500s requests,
// the 600s claims, the 700s orders.
var (
	NodeStarting     = define(100, slog.LevelInfo, "node starting", "None.")
	NodeReady        = define(101, slog.LevelInfo, "node ready", "None; the balancer may send traffic.")
	NodeStopping     = define(102, slog.LevelInfo, "node stopping", "None; it finishes every request in flight.")
	NodeStopped      = define(103, slog.LevelInfo, "node stopped", "None.")
	LinesDropped     = define(105, slog.LevelWarn, "log lines dropped", "The reader of the log is too slow; the lines are lost, no request was held up.")
	SettingsReloaded = define(106, slog.LevelInfo, "settings looked at again", "Read whether they changed; a node takes new ones with its next start.")
	AdminFailed      = define(107, slog.LevelError, "operators' address not served", "The node serves callers without it: free the address, then restart the node.")
	FleetKnown       = define(108, slog.LevelInfo, "fleet known", "None; from now on the node shares duties with the nodes that it knows.")
	MemoryFull       = define(109, slog.LevelError, "memory nearly used up", "New requests are refused until 110. Look at how many are in flight and how large their bodies are; give the VM more memory.")
	MemoryFree       = define(110, slog.LevelInfo, "memory free again", "None.")
	NodeFailed       = define(104, slog.LevelError, "node failed", "Read the error: an address in use or a wrong setting.")

	ConfigInForce     = define(200, slog.LevelInfo, "configuration in force", "Compare the hash with what you published.")
	ConfigRejected    = define(201, slog.LevelWarn, "configuration record rejected", "Its author raced another one: make the change again on the version in force.")
	ConfigUndecodable = define(202, slog.LevelError, "configuration record not usable by this node", "The node keeps the last good version: bring it to the release that wrote the record.")
	ConfigLogDown     = define(203, slog.LevelWarn, "configuration log unavailable", "Serving goes on with the version in force; look at the platform's log.")
	ConfigFromPeer    = define(204, slog.LevelInfo, "configuration taken from a peer", "None; the log was unavailable.")
	ConfigCheckpoint  = define(205, slog.LevelInfo, "configuration checkpoint appended", "None; it keeps the version from expiring.")

	TableInForce   = define(206, slog.LevelInfo, "routing table in force", "None; the version is the operator's.")
	TableRejected  = define(207, slog.LevelError, "routing table not usable", "The last good one stays in force: mend the field that the error names.")
	StoreLost      = define(208, slog.LevelWarn, "platform's store does not answer", "Serving goes on with what is known; look at the store if it lasts.")
	StoreBack      = define(209, slog.LevelInfo, "platform's store answers again", "None.")
	TableHeard     = define(210, slog.LevelInfo, "newer routing table known", "None, when 206 with this version or a newer one follows within two seconds. Else look at the metric of broken writes and at the VM's link.")
	TableNotPassed = define(211, slog.LevelError, "routing table not passed on", "The node serves by it; other nodes take it from each other or from the store. Report the error.")

	StoreRestored = define(212, slog.LevelError, "platform's store came back from an older copy", "What was written since the copy is gone until its writers write it again; look whether the configuration (206) is the one that you published last. Endpoints that the copy lacks are kept for two seconds, those that had left stay out until the store has said otherwise for eight.")

	DomainsEvacuated = define(213, slog.LevelWarn, "evacuated failure domains changed", "None: operators did it. Endpoints there get no new requests; an empty list takes it back.")
	ChangesNotPassed = define(214, slog.LevelError, "changes of endpoints not passed on", "None at first: they are asked for again in the uncompressed form. Report the error.")

	EndpointReady    = define(310, slog.LevelInfo, "endpoint ready", "None.")
	EndpointGone     = define(311, slog.LevelInfo, "endpoint gone", "None, unless nobody took it away.")
	EndpointRejected = define(312, slog.LevelError, "endpoint's registration not usable", "Mend the field that the error names.")
	EndpointsChanged = define(313, slog.LevelInfo, "many endpoints changed", "None: stands for lines 310, 311 and 402 of more than 32 endpoints that change together.")
	MemberAlive      = define(300, slog.LevelInfo, "member alive", "None.")
	MemberLeaving    = define(301, slog.LevelInfo, "member leaving", "None.")
	MemberDead       = define(302, slog.LevelWarn, "member dead", "Check the VM if the platform did not replace it.")
	NodeUnreadable   = define(304, slog.LevelWarn, "node's entry in the store not usable", "Find out who wrote it: only nodes leave their addresses there.")
	VMListDown       = define(303, slog.LevelWarn, "list of VMs unavailable", "New nodes cannot join until it is back; serving goes on.")

	SchedulerLost  = define(400, slog.LevelWarn, "no word from a shard's scheduler", "None; the gateway asks the next one, then serves a small local share.")
	SchedulerTaken = define(401, slog.LevelInfo, "shard taken over", "None; for a moment it grants half of the capacity.")
	EndpointLeaves = define(402, slog.LevelInfo, "endpoint takes no new work", "None.")
	OwnerSilent    = define(403, slog.LevelWarn, "owner of engines does not answer", "None; the node places prompts alone for two seconds. Look at the owner's VM when it repeats.")
	OwnerBack      = define(404, slog.LevelInfo, "owner of engines answers again", "None.")
	EnginesDivided = define(405, slog.LevelInfo, "engines divided among owners", "None; asking tells whether the fleet is large enough for owners.")

	CacheLearnt  = define(406, slog.LevelInfo, "engine's cache learnt", "None; the node decides for the engine from now on and knows what it holds.")
	CacheUnknown = define(407, slog.LevelWarn, "engine's cache not learnt", "None; the node learns it from what it sends. Look at the engine when it repeats.")

	RequestRefused  = define(500, slog.LevelWarn, "request refused", "Read the reason; under overload, look at the class's tier and share.")
	RequestBroken   = define(501, slog.LevelWarn, "attempt broke", "Look at the endpoint when it repeats.")
	AttemptEnded    = define(503, slog.LevelInfo, "attempt ended", "Read how it ended; touched tells whether the endpoint may have run it.")
	RequestEnded    = define(504, slog.LevelInfo, "request ended", "Read outcome and code; the attempts with the same id tell the rest.")
	RequestAccepted = define(505, slog.LevelInfo, "request accepted", "None; it shows the route, the team and the version that decided.")
	AttemptSent     = define(506, slog.LevelInfo, "attempt sent", "None; it shows why the endpoint was chosen. Without a line that it ended, the process did.")
	RepeatDenied    = define(507, slog.LevelWarn, "repeat denied by the budget", "Look for what makes requests fail; the budget keeps repeats from adding to it.")
	RequestFailed   = define(508, slog.LevelWarn, "request not completed", "Follow the attempts with the same id; chivedrift explain --log puts them in order.")
	EndpointCrashed = define(509, slog.LevelWarn, "endpoint failed under a request", "Compare content: a request that is there each time may be what crashes the engines. evidence tells how it was found. Read the engine's own log.")
	QuarantineBegan = define(510, slog.LevelError, "request quarantined", "Engines crash under it. Tell its team; look at the engines' logs. Its callers get 503 with Retry-After until a probe, now and then, is answered.")
	QuarantineEnded = define(511, slog.LevelWarn, "request released from quarantine", "None: an engine answered it, another request accounts for the crashes, the crashes were refuted, or its caller has stopped.")
	QuarantineProbe = define(512, slog.LevelWarn, "quarantined request probed", "None; the engine's crash or answer decides whether it stays quarantined.")
	CrashRefuted    = define(513, slog.LevelWarn, "crash report refuted", "None; the endpoint answered after it was reported as crashed. Look at what stands between the nodes and the endpoint.")
	EndpointFailed  = define(515, slog.LevelWarn, "silent endpoint failed", "Nothing broke, but the endpoint answers nothing any more; evidence tells what was tried. Read the engine's own log.")
	FailureReceived = define(514, slog.LevelWarn, "endpoint's failure received", "Another node found it. Read the engine's own log.")
	RequestUnknown  = define(502, slog.LevelWarn, "outcome unknown", "The caller was told so; compare with the endpoint's own records.")

	ClaimLogDown = define(600, slog.LevelWarn, "claim not written", "Requests with Idempotency-Key are answered not-run until the log is back.")

	OrderRefused = define(700, slog.LevelWarn, "order not sent", "The lease had too little time left, or its holder changed; the next holder sends it.")
	LeaseTaken   = define(701, slog.LevelInfo, "lease taken", "None.")
	LeaseLost    = define(702, slog.LevelWarn, "lease lost", "None; another node holds it or will claim it when the term expires. Check the store if this repeats.")

	LeaseNotReleased = define(703, slog.LevelWarn, "lease not released", "None; the next holder waits until the term expires.")
	UsageReported    = define(710, slog.LevelInfo, "usage of a window reported", "None.")
	UsageOmitted     = define(711, slog.LevelWarn, "usage of a window omitted", "See the reason: the platform or the store was unavailable for too long, or the store was restored from an older copy and may have lost the ledger.")
	UsageRefused     = define(712, slog.LevelWarn, "usage report refused", "None; another node holds the lease. Check the lease events (701, 702) if this repeats.")
	UsageUnreadable  = define(713, slog.LevelError, "usage ledger not decodable", "Windows that may have been reported are omitted. Find out what wrote it: only nodes write this key.")

	ReplicasOrdered    = define(720, slog.LevelInfo, "replicas ordered", "None; requests is the number of requests in progress, running the number of running replicas of this kind.")
	ReplicasRefused    = define(721, slog.LevelWarn, "replica order not accepted", "None; the order is retried. While a failure domain is marked unavailable, its share of preemptible replicas is ordered in the others.")
	ReplicasUnreadable = define(722, slog.LevelError, "initial numbers of replicas not decodable", "The running replicas are counted again. Find out what wrote the value: only nodes write this key.")
)
