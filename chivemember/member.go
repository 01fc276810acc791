package chivemember

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// State is what the fleet believes of a member.
type State uint8

const (
	// Alive members answer and take work.
	Alive State = 1
	// Leaving members answer, finish what they have and take no new duties.
	Leaving State = 2
	// Dead members do not answer.
	Dead State = 3
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member is one node as others know it; a higher incarnation replaces every update on a lower one.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	AdminAddress  string `json:"admin_address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   int64  `json:"incarnation"`
	State         State  `json:"state"`
}

// supersedes reports whether this update on a member beats an earlier one.
func (m Member) supersedes(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

func (m Member) digest() uint64 {
	return xxhash.Sum64String(m.Name + "|" + strconv.FormatInt(m.Incarnation, 10) + "|" + strconv.Itoa(int(m.State)))
}

// ---------------------------------------------------------------- messages

// Probe asks a watched member whether it answers and shows the sender's view in a digest.
type Probe struct {
	Name        string
	Incarnation int64
	Digest      uint64
}

// Ack answers a probe.
type Ack struct {
	Name        string
	Incarnation int64
	Digest      uint64
}

// News passes on updates on members.
type News struct {
	Members []Member
}

// Confirm asks another watcher whether it has heard a member that the sender has not.
type Confirm struct {
	Name string
}

// Heard answers Confirm with how long ago the member was heard, in milliseconds; negative means never.
type Heard struct {
	Name  string
	AgoMs int64
}

// Sync is a whole view, sent where digests differ for longer than news takes to travel.
type Sync struct {
	Members []Member
	Reply   bool
}

// EndpointNews says that an endpoint takes no new work until a time, in Unix milliseconds.
type EndpointNews struct {
	Endpoint string
	UntilMs  int64
}

// Envelope is a message with the peer address it goes to.
type Envelope struct {
	To      string
	Message any
}
