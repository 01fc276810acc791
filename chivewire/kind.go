package chivewire

// Kind identifies the type of a message on the wire.
type Kind uint8

// Message kinds. A number never changes its meaning, so that nodes of different releases can communicate.
const (
	KindHello Kind = 1
	KindBeat  Kind = 2
	KindBye   Kind = 3

	KindProbe   Kind = 16
	KindAck     Kind = 17
	KindNews    Kind = 18
	KindConfirm Kind = 19
	KindHeard   Kind = 20
	KindSync    Kind = 21

	KindSlotRequest  Kind = 32
	KindSlotGrant    Kind = 33
	KindSlotRefusal  Kind = 34
	KindSlotProgress Kind = 35
	KindSlotDone     Kind = 36
	KindSlotWithdraw Kind = 37
	KindSlotAdopt    Kind = 38
	KindSlotPreempt  Kind = 39
	KindSlotQueued   Kind = 40

	KindQuotaRequest Kind = 48
	KindQuotaGrant   Kind = 49

	KindEndpointNews Kind = 56

	KindClaimWrite  Kind = 64
	KindClaimResult Kind = 65
	KindClaimRecord Kind = 66

	KindConfigAsk    Kind = 80
	KindConfigAnswer Kind = 81

	KindDigest         Kind = 96
	KindDocument       Kind = 97
	KindEarlierChanges Kind = 98
	KindLoads          Kind = 99

	KindAnswersAsk Kind = 100
	KindAnswers    Kind = 101

	KindDocumentAsk     Kind = 108
	KindDocumentPart    Kind = 109
	KindDocumentRefusal Kind = 110

	KindDigestAnswer  Kind = 112
	KindChangesAsk    Kind = 113
	KindChangesAnswer Kind = 114
	KindPackedAsk     Kind = 115
	KindPackedChanges Kind = 116

	KindDeferredChanges Kind = 117

	KindPartPermitAsk Kind = 118
	KindPartPermit    Kind = 119

	KindCrashUpdate     Kind = 120
	KindCrashDigest     Kind = 121
	KindProbeRequest    Kind = 122
	KindProbeGrant      Kind = 123
	KindEndpointAlive   Kind = 124
	KindEndpointFailure Kind = 125

	KindPartCrashUpdate Kind = 126
	KindPartCrashDigest Kind = 127

	KindEvacuations Kind = 128

	KindStarts    Kind = 132
	KindStartsAck Kind = 133

	KindSettledWindows Kind = 134

	KindRepeatAsk    Kind = 136
	KindRepeatAnswer Kind = 137

	KindRateAsk     Kind = 140
	KindRateAnswer  Kind = 141
	KindRateRelease Kind = 142

	KindVersionsAsk Kind = 144
	KindVersions    Kind = 145
	KindSoleAsk     Kind = 146
	KindSoleAnswer  Kind = 147

	KindStreamBegun  Kind = 148
	KindStreamAsk    Kind = 149
	KindStreamAnswer Kind = 150
	KindStreamStore  Kind = 151

	KindEndpointNotice Kind = 152

	KindEndpointWarmUp Kind = 164
	KindPermitUser     Kind = 165

	KindEvacuationDetails Kind = 172
	KindEvacuationsAsk    Kind = 173

	KindPlaceAsk    Kind = 104
	KindPlaceAnswer Kind = 105
)

var kindNames = map[Kind]string{
	KindHello: "hello", KindBeat: "beat", KindBye: "bye",
	KindProbe: "probe", KindAck: "ack", KindNews: "news", KindConfirm: "confirm", KindHeard: "heard", KindSync: "sync",
	KindSlotRequest: "slot_request", KindSlotGrant: "slot_grant", KindSlotRefusal: "slot_refusal",
	KindSlotProgress: "slot_progress", KindSlotDone: "slot_done", KindSlotWithdraw: "slot_withdraw",
	KindSlotAdopt: "slot_adopt", KindSlotPreempt: "slot_preempt", KindSlotQueued: "slot_queued",
	KindQuotaRequest: "quota_request", KindQuotaGrant: "quota_grant", KindEndpointNews: "endpoint_news",
	KindClaimWrite: "claim_write", KindClaimResult: "claim_result", KindClaimRecord: "claim_record",
	KindConfigAsk: "config_ask", KindConfigAnswer: "config_answer",
	KindDigest: "digest", KindDocument: "document", KindEarlierChanges: "changes", KindLoads: "loads",
	KindAnswersAsk: "answers_ask", KindAnswers: "answers",
	KindDocumentAsk: "document_ask", KindDocumentPart: "document_part", KindDocumentRefusal: "document_refusal",
	KindDigestAnswer: "digest_answer", KindChangesAsk: "changes_ask", KindChangesAnswer: "changes_answer",
	KindPackedAsk: "packed_ask", KindPackedChanges: "packed_changes", KindDeferredChanges: "deferred_changes",
	KindCrashUpdate: "crash_update", KindCrashDigest: "crash_digest", KindProbeRequest: "probe_request", KindProbeGrant: "probe_grant",
	KindEndpointAlive: "endpoint_alive", KindEndpointFailure: "endpoint_failure", KindEvacuations: "evacuations",
	KindPartCrashUpdate: "part_crash_update", KindPartCrashDigest: "part_crash_digest",
	KindPartPermitAsk: "part_permit_ask", KindPartPermit: "part_permit",
	KindStarts: "starts", KindStartsAck: "starts_ack", KindSettledWindows: "settled_windows",
	KindRepeatAsk: "repeat_ask", KindRepeatAnswer: "repeat_answer",
	KindPlaceAsk: "place_ask", KindPlaceAnswer: "place_answer",
	KindRateAsk: "rate_ask", KindRateAnswer: "rate_answer", KindRateRelease: "rate_release",
	KindVersionsAsk: "versions_ask", KindVersions: "versions", KindSoleAsk: "sole_ask", KindSoleAnswer: "sole_answer",
	KindStreamBegun: "stream_begun", KindStreamAsk: "stream_ask", KindStreamAnswer: "stream_answer", KindStreamStore: "stream_store",
	KindEndpointNotice: "endpoint_notice", KindEndpointWarmUp: "endpoint_warm_up", KindPermitUser: "permit_user",
	KindEvacuationDetails: "evacuation_details", KindEvacuationsAsk: "evacuations_ask",
}

// String returns the name of the kind used in metrics and state dumps.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}
