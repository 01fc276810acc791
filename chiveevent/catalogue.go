package chiveevent

import (
	"log/slog"
)

// The events are numbered by subject: 100 to 199 the lifecycle of the node, 200 configuration, 300 membership, 400
// scheduling, 500 requests, 600 claims of idempotency keys, 700 orders, leases and usage reports, 800 regions and what nodes
// share about endpoints.
var (
	NodeStarting     = define(100, slog.LevelInfo, "node starting", "None.")
	NodeReady        = define(101, slog.LevelInfo, "node ready", "None; the load balancer may send traffic.")
	NodeStopping     = define(102, slog.LevelInfo, "node stopping", "None; the node completes the requests in flight.")
	NodeStopped      = define(103, slog.LevelInfo, "node stopped", "None if cut, the number of requests whose connection the stop closed before their response was written out, is 0; event 517 names them. refused counts requests that would not have ended in time and were not run, unanswered those that an endpoint did not answer in time; both have the code node_stopping in events 500 and 508.")
	LinesDropped     = define(105, slog.LevelWarn, "log lines dropped", "The process that reads the log is too slow: the lines are lost, but no request was delayed.")
	SettingsReloaded = define(106, slog.LevelInfo, "settings looked at again", "Check whether the settings changed; a node applies new settings at its next start.")
	AdminFailed      = define(107, slog.LevelError, "operators' address not served", "The node serves callers without the operators' address: free the address, then restart the node.")
	FleetKnown       = define(108, slog.LevelInfo, "fleet known", "None; from now on the node shares duties with the other nodes that it knows.")
	MemoryFull       = define(109, slog.LevelError, "memory nearly used up", "New requests are refused until event 110. Check the number of requests in flight and the size of their bodies; give the VM more memory.")
	MemoryFree       = define(110, slog.LevelInfo, "memory free again", "None.")
	LibraryLine      = define(111, slog.LevelWarn, "line of a library", "Read the text; the part after a quotation mark is left out, since it may be the content of a message. lines counts the lines since the last of this event, which comes once in five seconds at most, and once more for panics. An unsolicited response on an idle channel that came together with the end of the response before shows here; event 414 has the others.")
	CallersBounded   = define(112, slog.LevelWarn, "callers' requests or connections refused or ended", "See which bound: requests_refused found no memory, requests_ended had brought nothing for a second (a quarter of one while there were max_connections), or had been arriving for ten, and made room, heads_refused were too large, found no memory or made room; connections_refused came while there were max_connections with requests under way, connections_closed made room: unused, or with a caller that read nothing or sent on. All since the last such line; lines 500 with the code no_memory have the requests. If ordinary callers are among them, give the VM more memory or descriptors.")
	BodiesTooLarge   = define(113, slog.LevelWarn, "configured bodies larger than the memory for them", "Bodies above largest_bytes get 503 no_memory. Lower the limit of bodies in the configuration, or give the VM more memory.")
	NodeFailed       = define(104, slog.LevelError, "node failed", "Read the error: the address is in use or a setting is wrong.")

	ConfigInForce     = define(200, slog.LevelInfo, "configuration in force", "Compare the hash with that of the configuration that you published.")
	ConfigRejected    = define(201, slog.LevelWarn, "configuration record rejected", "Its author published at the same time as another one: repeat the change on the version in force.")
	ConfigUndecodable = define(202, slog.LevelError, "configuration record not usable by this node", "The node keeps the last valid version: install the release that wrote the record.")
	ConfigLogDown     = define(203, slog.LevelWarn, "configuration log unavailable", "The node keeps serving with the version in force; check the platform's log.")
	ConfigFromPeer    = define(204, slog.LevelInfo, "configuration taken from a peer", "None; the log was unavailable.")
	ConfigCheckpoint  = define(205, slog.LevelInfo, "configuration checkpoint appended", "None; the checkpoint keeps the version from expiring.")

	TableInForce   = define(206, slog.LevelInfo, "routing table in force", "None; the version is the one that the operator set.")
	TableRejected  = define(207, slog.LevelError, "routing table not usable", "The last valid table stays in force: correct the field named in the error.")
	StoreLost      = define(208, slog.LevelWarn, "platform's store does not answer", "The node keeps serving with the data that it has; check the store if this lasts.")
	StoreBack      = define(209, slog.LevelInfo, "platform's store answers again", "None.")
	TableHeard     = define(210, slog.LevelInfo, "newer routing table known", "None if event 206 with this version or a newer one follows within two seconds. Otherwise check the metric of broken writes and the network link of the VM.")
	TableNotPassed = define(211, slog.LevelError, "routing table not passed on", "The node uses the table; other nodes get it from each other or from the store. Report the error.")

	StoreRestored = define(212, slog.LevelError, "platform's store came back from an older copy", "Data written after the copy was taken is missing until its writers write it again. Check that the configuration (event 206) is the one that you published last. Endpoints missing from the copy are kept for two seconds; endpoints that had left are ignored until the store has listed them for eight seconds.")

	DomainsEvacuated = define(213, slog.LevelWarn, "evacuated failure domains changed", "None; operators made the change. Endpoints in the listed failure domains get no new requests; an empty list ends the evacuation.")
	ChangesNotPassed = define(214, slog.LevelError, "changes of endpoints not passed on", "None at first: the changes are requested again in uncompressed form. Report the error.")

	EndpointReady    = define(310, slog.LevelInfo, "endpoint ready", "None.")
	EndpointGone     = define(311, slog.LevelInfo, "endpoint gone", "None if the endpoint was removed on purpose; otherwise check it.")
	EndpointRejected = define(312, slog.LevelError, "endpoint's registration not usable", "Correct the field named in the error.")
	EndpointsChanged = define(313, slog.LevelInfo, "many endpoints changed", "None; the line replaces those of events 310, 311 and 402 when more than 32 endpoints change at once.")
	PathsLost        = define(320, slog.LevelWarn, "endpoint reached through a peer", "Check the network between the node and the endpoints; requests go through peers meanwhile. The state dump lists the endpoints.")
	PathsRestored    = define(321, slog.LevelInfo, "all endpoints reached directly again", "None.")
	MemberAlive      = define(300, slog.LevelInfo, "member alive", "None.")
	MemberLeaving    = define(301, slog.LevelInfo, "member leaving", "None.")
	MemberDead       = define(302, slog.LevelWarn, "member dead", "Check the VM if the platform did not replace it.")
	NodeUnreadable   = define(304, slog.LevelWarn, "node's entry in the store not usable", "Find out what wrote the entry: only nodes register their addresses there.")
	VMListDown       = define(303, slog.LevelWarn, "list of VMs unavailable", "New nodes cannot join until the list is available again; serving continues.")

	SchedulerLost  = define(400, slog.LevelWarn, "no word from a shard's scheduler", "None; the gateway asks the next scheduler, then serves a small local share.")
	SchedulerTaken = define(401, slog.LevelInfo, "shard taken over", "None; for a short time the new scheduler grants half of the capacity.")
	EndpointLeaves = define(402, slog.LevelInfo, "endpoint takes no new work", "None.")
	OwnerSilent    = define(403, slog.LevelWarn, "owner of engines does not answer", "None; for two seconds the node places prompts without the owner. Check the owner's VM if this repeats.")
	OwnerBack      = define(404, slog.LevelInfo, "owner of engines answers again", "None.")
	EnginesDivided = define(405, slog.LevelInfo, "engines divided among owners", "None; the field asking shows whether the fleet is large enough for owners.")

	CacheLearnt  = define(406, slog.LevelInfo, "engine's cache learnt", "None; the node now decides for the engine and knows the contents of its cache.")
	CacheUnknown = define(407, slog.LevelWarn, "engine's cache not learnt", "None; the node derives the contents of the cache from the requests that it sends. Check the engine if this repeats.")

	LimitChanged  = define(408, slog.LevelWarn, "endpoint's limits changed", "None; per_second is the rate in requests a second that all nodes together send from now on, refusals_per_second how many requests a second the endpoint can refuse without a crash, each 0 without a limit. Find out why the endpoint needs limits.")
	LimitUnusable = define(409, slog.LevelWarn, "endpoint's limits not usable", "Correct the value in the endpoint's responses; until then the limits before hold.")

	LeavingStated  = define(410, slog.LevelInfo, "endpoint says that it is leaving", "None; the node sends its process no further requests. Look at the endpoint if it stays for long: only its next process gets requests again.")
	RestAsked      = define(411, slog.LevelWarn, "endpoint asks for rest", "None; the node sends it no requests for rest_ms. Find out why the endpoint refuses requests if this repeats.")
	NoticeUnusable = define(412, slog.LevelWarn, "endpoint's notice not usable", "Correct the value in the endpoint's responses; the response counts as one without it, or as one with the longest warm-up if it states a longer one.")

	NoticeReceived = define(413, slog.LevelInfo, "endpoint's notice received from a peer", "None; the endpoint said it on a connection that one node has opened for another.")

	UnsolicitedBytes = define(414, slog.LevelWarn, "endpoint sent unsolicited bytes", "Find out why the endpoint, or a proxy before it, sends responses that nobody waits for. The node has closed as many connections to it as the field connections says, without a loss for requests, and logs the endpoint again after five seconds at the earliest. An empty endpoint stands for all that are too many to be named.")

	DistanceMeasured     = define(810, slog.LevelInfo, "distance to a region measured", "None; round_trip_ms is the round trip to its nodes, by which this node waits for them. If it changes often, check the network between the regions.")
	RegionSilent         = define(811, slog.LevelWarn, "peers of a region do not answer in time", "Look at the nodes of the region if other nodes log this too, else at the network between this node and the region. Requests go on without their answers.")
	RegionAnswers        = define(812, slog.LevelInfo, "peers of a region answer in time again", "None.")
	RegionOwnedElsewhere = define(820, slog.LevelWarn, "engines of a region owned in other regions", "None; the region has no nodes or too few, so that questions for its engines cross regions. Start nodes there. The field elsewhere is the number of its groups owned in other regions; 0 means that all are owned there again.")

	WarmUpStated   = define(830, slog.LevelInfo, "endpoint says that it is cold", "None; for left_ms all nodes together keep to the rate that its pool has for cold endpoints. Find out why the endpoint has become slow if it has not just started.")
	WarmUpReceived = define(831, slog.LevelInfo, "cold endpoint known from a peer", "None; the endpoint said it in a response to that node.")
	WarmUpTooLong  = define(832, slog.LevelWarn, "endpoint's entry states too long a warm-up", "Correct the value in the endpoint's entry; the endpoint counts as cold for used_ms, unless its entry changes. count is the number of such endpoints that changed at once.")

	RequestRefused   = define(500, slog.LevelWarn, "request refused", "Read the reason; under overload, check the tier and the share of the class.")
	RequestBroken    = define(501, slog.LevelWarn, "attempt broke", "Check the endpoint if this repeats.")
	AttemptEnded     = define(503, slog.LevelInfo, "attempt ended", "The field ended shows how the attempt ended; touched shows whether the endpoint may have run it, repeat that an earlier attempt of the request had reached an endpoint, late_responses how many responses to earlier requests came before its own, connection whether other requests had used it before (kept) or none (new), through the peer that it went through, response_names which request the response named (request, other or none; absent without a response), framing how that states where its body ends (length, chunks, no_body by its status or method, close if only the end of the connection ends it), and not_run_by what proves that the endpoint did not run the request: its refusal, a response of another endpoint (misdirected), no connection (not_connected), no byte sent (not_written), or that the endpoint had stopped taking requests before the first byte (withdrawn).")
	RequestEnded     = define(504, slog.LevelInfo, "request ended", "Read outcome and code; the attempts with the same request ID give the details.")
	RequestAccepted  = define(505, slog.LevelInfo, "request accepted", "None; the line shows the route, the team and the version on which the decision was based, and in resumes the attempt that began the stream which the caller takes up.")
	AttemptSent      = define(506, slog.LevelInfo, "attempt sent", "None; the line shows why the endpoint was chosen, and in version that of the endpoint's software. If no line reports the end of the attempt, the process itself ended.")
	RepeatDenied     = define(507, slog.LevelWarn, "repeat denied by the budget", "Find out why requests fail; the budget keeps retries from adding to the failures. The field overdrawn tells how many of the charged retries the requests of the current window no longer cover.")
	RequestFailed    = define(508, slog.LevelWarn, "request not completed", "Read the attempts with the same request ID; chivedrift explain --log lists them in order. The field tries has the last eight in short, with the fields of event 503.")
	EndpointCrashed  = define(509, slog.LevelWarn, "endpoint failed under a request", "Compare the fields content and parts: a request, or a part of prompts, that is present in each failure may be what crashes the engines. The field evidence shows how the failure was detected. Read the engine's own log.")
	QuarantineBegan  = define(510, slog.LevelError, "request quarantined", "The request crashes engines. Inform its team; read the engines' logs. Its callers get 503 with Retry-After until one of the occasional probes is answered.")
	QuarantineEnded  = define(511, slog.LevelWarn, "request released from quarantine", "None; an engine answered the request, another request accounts for the crashes, the crash reports were refuted, or its caller stopped sending it.")
	QuarantineProbe  = define(512, slog.LevelWarn, "quarantined request probed", "None; whether the engine crashes or answers decides if the request stays quarantined.")
	CrashRefuted     = define(513, slog.LevelWarn, "crash report refuted", "None; the endpoint answered after it was reported as crashed. Check the network path between the nodes and the endpoint.")
	EndpointFailed   = define(515, slog.LevelWarn, "silent endpoint failed", "Nothing broke, but the endpoint no longer answers; the field evidence shows what was tried. Read the engine's own log.")
	StreamTakenUp    = define(516, slog.LevelInfo, "stream taken up", "None; origin shows how the node knows the software version that began the stream: record from this node or an owner, sole since all endpoints have that version, moved since the route has moved to another pool.")
	ResponseCut      = define(517, slog.LevelWarn, "connection closed before the response was written out", "The node was stopping. ending shows who closed the connection: cut by the stop, or broken off before that by its caller or since the response was aborted. read_after_stop_ms is when the last byte of the request was read, counted from the signal to stop, stop_left_ms the time that the node had left then, sent_after_stop_ms when the last attempt was sent to an endpoint, and since_stop_ms when this line was written; begun shows whether a part of the response had been passed on. Lines 500, 504 and 508 of requests that ended during a stop have these times too.")
	StreamsNotStored = define(518, slog.LevelWarn, "beginnings of streams not stored", "Look at the store. The node retries and logs this again after it has succeeded once; meanwhile streams cannot be taken up if all nodes end at once. dropped is the number of streams for which there was no room.")
	StreamsRead      = define(519, slog.LevelInfo, "beginnings of streams read", "None; streams is the number of records of streams that began before the node started. If unreadable is not 0, find out what wrote to the topic: only nodes do.")
	StreamsNotRead   = define(520, slog.LevelWarn, "beginnings of streams not read", "Look at the store; streams that began before all nodes ended cannot be taken up at this node.")
	RequestUnserved  = define(522, slog.LevelWarn, "connection closed under another request", "None if read is false: nothing of the request that came behind the one of this line had been read, and its caller sends it again. If read is true, that caller got no answer to a request of which the node had read a part. closing shows why: the response before was broken off (read its line 508), it announced the end of the connection, the stop cut it, the next request came too late (timed_out), or the connection was closed between two requests (unused). waiting shows whether unread bytes were left.")
	ConnClosed       = define(523, slog.LevelInfo, "caller's connection closed by the node", "None; it was open for further requests, of which it had carried the number in requests. closing is timed_out if the next request, or the rest of its header, did not come within the configured limit, unused or cut if the node was stopping, made_room if others were to be accepted beyond the bound of connections, broken_off if a response could not be completed (its line 508 is just before).")
	StoppedListening = define(524, slog.LevelInfo, "no more connections accepted", "None if unaccepted, the number of connections that the node had not accepted, is 0: the kernel resets these, with the requests that have arrived on them, of which no other line says anything. since_stop_ms is counted from the signal to stop.")
	FailureReceived  = define(514, slog.LevelWarn, "endpoint's failure received", "Another node detected the failure. Read the engine's own log.")
	RequestUnknown   = define(502, slog.LevelWarn, "outcome unknown", "The caller was informed; compare with the endpoint's own records.")

	ClaimLogDown = define(600, slog.LevelWarn, "claim not written", "Requests with Idempotency-Key are answered with not-run until the log is available again.")

	OrderRefused = define(700, slog.LevelWarn, "order not sent", "The lease had too little time left, or its holder changed; the next holder sends the order.")
	LeaseTaken   = define(701, slog.LevelInfo, "lease taken", "None.")
	LeaseLost    = define(702, slog.LevelWarn, "lease lost", "None; another node holds it or will claim it when the term expires. Check the store if this repeats.")

	LeaseNotReleased = define(703, slog.LevelWarn, "lease not released", "None; the next holder waits until the term expires.")
	UsageReported    = define(710, slog.LevelInfo, "usage of a window reported", "None.")
	UsageOmitted     = define(711, slog.LevelWarn, "usage of a window omitted", "See the reason: the platform or the store was unavailable for too long, or the store was restored from an older copy and may have lost the ledger.")
	UsageRefused     = define(712, slog.LevelWarn, "usage report refused", "None; another node holds the lease. Check the lease events (701, 702) if this repeats.")
	UsageUnreadable  = define(713, slog.LevelError, "usage ledger not decodable", "Windows that may have been reported are omitted. Find out what wrote it: only nodes write this key.")

	EvacuationsRetained = define(840, slog.LevelError, "evacuations retained", "The store came back from a copy without the records of these evacuations. The failure domains stay evacuated. Write the record of each again; remove it afterwards to end the evacuation.")
	EvacuationsUnknown  = define(841, slog.LevelWarn, "evacuations not known at the start", "The node serves without those that it could not read: no peer answered in time, nor the store unless store_read is true. Check the connections to both. With store_read, none is missing if all nodes have started since the store came back from a copy.")

	ReplicasOrdered    = define(720, slog.LevelInfo, "replicas ordered", "None; requests is the number of requests in progress, running the number of running replicas of this kind.")
	ReplicasRefused    = define(721, slog.LevelWarn, "replica order not accepted", "None; the order is retried. While a failure domain is marked unavailable, its share of preemptible replicas is ordered in the others.")
	ReplicasUnreadable = define(722, slog.LevelError, "initial numbers of replicas not decodable", "The running replicas are counted again. Find out what wrote the value: only nodes write this key.")
	OrdersNotStored    = define(723, slog.LevelWarn, "replica orders not stored", "None; numbers that differ from the last ones are ordered once the store can be written again. Check the lease events (702) if this repeats.")
	OrdersUnreadable   = define(724, slog.LevelError, "stored replica orders not decodable", "The running replicas are taken for the ordered ones. Find out what wrote the value: only nodes write this key.")
	OrdersInherited    = define(725, slog.LevelInfo, "replica orders of the previous lease holder taken over", "None; sent_again is the number of orders that may not have been carried out, or may be carried out late.")
)
