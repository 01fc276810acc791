package chivemember

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as its peers see it.
type State uint8

const (
	// Alive members respond and take work.
	Alive State = 1
	// Leaving members respond and finish their work, but take on nothing new.
	Leaving State = 2
	// Dead members do not respond.
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

// Member describes one node. An update with a higher incarnation replaces all with a lower one.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	AdminAddress  string `json:"admin_address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   int64  `json:"incarnation"`
	State         State  `json:"state"`
	// RelayAddress is where the node opens connections to endpoints for its peers; empty if it does not.
	RelayAddress string `json:"relay_address,omitempty"`
}

// supersedes reports whether this update replaces another one on the same member.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

func (m Member) digest() uint64 {
	return xxhash.Sum64String(m.Name + "|" + strconv.FormatInt(m.Incarnation, 10) + "|" + strconv.Itoa(int(m.State)))
}

// ---------------------------------------------------------------- messages

// Probe asks a member for a sign of life; Digest is that of the sender's view.
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

// News carries updates on members.
type News struct {
	Members []Member
}

// Confirm asks another prober of a member when it last heard from it, because the sender has not.
type Confirm struct {
	Name string
}

// Heard answers Confirm with how long ago the member was heard, in milliseconds; negative means never.
type Heard struct {
	Name  string
	AgoMs int64
}

// Sync carries the view of the sender, or a part of it, if digests have differed for longer than updates take to spread
// or if the receiver is unknown to the sender. Reply asks for the receiver's view.
type Sync struct {
	Members []Member
	Reply   bool
}

// EndpointNews tells that an endpoint takes no new work until a time, in Unix milliseconds.
type EndpointNews struct {
	Endpoint string
	UntilMs  int64
}

// Envelope is a message with the address of the peer that it is for.
type Envelope struct {
	To      string
	Message any
}
