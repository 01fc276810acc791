package chivelog

// Appended is the log's answer to an append.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Record is one retained record of a stream; data is base64 in JSON.
type Record struct {
	Offset   int64  `json:"offset"`
	AtUnixMs int64  `json:"at_unix_ms"`
	Data     []byte `json:"data"`
}

// Batch is the log's answer to a read: records in offset order, the first offset still retained and the next to be written.
type Batch struct {
	Records []Record `json:"records"`
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
}

// VM is one entry of the platform's lagging list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	AdminAddress  string `json:"admin_address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Kind          string `json:"kind"`
	State         string `json:"state"`
}

// VMs is the platform's answer to a request for the list.
type VMs struct {
	VMs []VM `json:"vms"`
}

const (
	// KindEntry marks a VM that runs a node.
	KindEntry = "entry"
	// KindEndpoint marks a VM that runs an endpoint.
	KindEndpoint = "endpoint"
	// StateLive marks a VM in service.
	StateLive = "live"
	// StateLeaving marks a VM that is about to go.
	StateLeaving = "leaving"
)
