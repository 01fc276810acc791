package chiveusage

import (
	"slices"
	"sync"
	"time"
)

// The store may be restored from a copy without the newest ledger. Only processes can then know which windows have been
// reported. So the lease holder states each settled window to all nodes, and sends its report once the other collectors
// have confirmed that they know the window. All processes keep what they know in memory and state it to new collectors. A
// holder without the ledger first asks all nodes. If no process knows any more, windows are omitted up to the present.

const (
	// announceInterval is how often a node asks a collector that has not stated anything, and a collector any such node.
	// Nodes of earlier releases never do.
	announceInterval = 5 * time.Second
	// confirmInterval is how often a collector is asked again to confirm a settled window.
	confirmInterval = 500 * time.Millisecond
	// answerTimeout is how long a holder without the ledger waits for the answers of all nodes in contact.
	answerTimeout = 2 * time.Second
)

// SettledWindows states which windows may have been reported, as far as the sender knows.
type SettledWindows struct {
	// Incarnation identifies the process of the sender.
	Incarnation int64
	// Bounds holds the first and last windows of all ranges in turn.
	Bounds []int64
	// Ask means that the receiver is to state what it knows.
	Ask bool
}

// settledPeer is what is known of a peer.
type settledPeer struct {
	incarnation int64
	// isCollector means that the peer is one of the collectors.
	isCollector bool
	// stated is whether the process has stated anything, statedAt when it last did, and windows what it knows.
	stated   bool
	statedAt time.Duration
	windows  windowSet
	// sentAt is when a statement was last sent to it; 0 before the first.
	sentAt time.Duration
}

// settledWindows holds the windows that may have been reported, as far as this process knows, and what its peers know.
type settledWindows struct {
	incarnation int64

	mu    sync.Mutex
	known windowSet
	peers map[string]*settledPeer
}

func newSettledWindows(incarnation int64) *settledWindows {
	return &settledWindows{incarnation: incarnation, peers: make(map[string]*settledPeer)}
}

// setPeers sets the addresses of the other nodes that are up, and which of them are collectors.
func (s *settledWindows) setPeers(self string, alive, collectors []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make(map[string]*settledPeer, len(alive))
	for _, address := range alive {
		if address == self {
			continue
		}
		if peers[address] = s.peers[address]; peers[address] == nil {
			peers[address] = &settledPeer{}
		}
		peers[address].isCollector = slices.Contains(collectors, address)
	}
	s.peers = peers
}

// add adds a window that may have been reported.
func (s *settledWindows) add(window int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.settle(window)
}

// addAll adds windows that may have been reported.
func (s *settledWindows) addAll(windows windowSet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.addAll(windows)
}

func (s *settledWindows) contains(window int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.contains(window)
}

// bounds returns the bounds of the windows that may have been reported.
func (s *settledWindows) bounds() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.bounds()
}

// statement returns the message with what this process knows; the caller holds the lock.
func (s *settledWindows) statement(ask bool) SettledWindows {
	return SettledWindows{Incarnation: s.incarnation, Bounds: s.known.bounds(), Ask: ask}
}

// receive takes over what a peer states and returns the answer, if one is due.
func (s *settledWindows) receive(now time.Duration, from string, m SettledWindows) (answer SettledWindows, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stated := windowSetOf(m.Bounds)
	s.known.addAll(stated)
	isAnswered := m.Ask || !stated.containsAll(s.known)
	if p, ok := s.peers[from]; ok {
		p.incarnation, p.stated, p.statedAt, p.windows = m.Incarnation, true, now, stated
		if isAnswered {
			p.sentAt = now
		}
	}
	return s.statement(false), isAnswered
}

// collectorSeen records the process of a collector. A restarted one knows nothing.
func (s *settledWindows) collectorSeen(address string, incarnation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.peers[address]; ok && p.stated && p.incarnation != incarnation {
		*p = settledPeer{isCollector: p.isCollector}
	}
}

// dueStatements returns the statements that are due, by the address of the receiver. isCollector means that this node is
// a collector itself, which sees to it that the other collectors know what it knows.
func (s *settledWindows) dueStatements(now time.Duration, isCollector bool) map[string]SettledWindows {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[string]SettledWindows)
	for address, p := range s.peers {
		isUnknown := !p.stated && (isCollector || p.isCollector)
		isBehind := p.stated && isCollector && p.isCollector && !p.windows.containsAll(s.known)
		wait := p.sentAt + announceInterval - now
		if isBehind {
			wait = p.sentAt + confirmInterval - now
		}
		if (isUnknown || isBehind) && (p.sentAt == 0 || wait <= 0) {
			p.sentAt = now
			due[address] = s.statement(true)
		}
	}
	return due
}

// broadcast returns the statements that all nodes are sent after a window was settled. Collectors are asked to confirm it.
func (s *settledWindows) broadcast(now time.Duration) map[string]SettledWindows {
	s.mu.Lock()
	defer s.mu.Unlock()
	statements := make(map[string]SettledWindows)
	for address, p := range s.peers {
		if p.stated && !p.windows.containsAll(s.known) {
			p.sentAt = now
			statements[address] = s.statement(p.isCollector)
		}
	}
	return statements
}

// questions returns the statements that ask the nodes for what they know that have not stated it since a time.
func (s *settledWindows) questions(now, since time.Duration) map[string]SettledWindows {
	s.mu.Lock()
	defer s.mu.Unlock()
	questions := make(map[string]SettledWindows)
	for address, p := range s.peers {
		if p.statedAt < since && (p.sentAt < since || now-p.sentAt >= confirmInterval) {
			p.sentAt = now
			questions[address] = s.statement(true)
		}
	}
	return questions
}

// silenceOf returns for how long no message of a node has arrived; ok is false if none ever has.
type silenceOf func(address string) (silence time.Duration, ok bool)

// hasAnswers reports whether the nodes have stated what they know since a time: all that are in contact, or at least one
// if the others have had enough time. Nodes that have not stated anything by then are of an earlier release.
func (s *settledWindows) hasAnswers(since time.Duration, isTimedOut bool, silenceOf silenceOf) bool {
	isAsked := func(p *settledPeer) bool { return p.stated || !isTimedOut }
	return s.isEnough(isTimedOut, silenceOf, isAsked, func(p *settledPeer) bool { return p.statedAt >= since })
}

// isConfirmed reports whether the other collectors know a window: all that are in contact, or at least one if the
// window is urgent.
func (s *settledWindows) isConfirmed(window int64, isUrgent bool, silenceOf silenceOf) bool {
	isAsked := func(p *settledPeer) bool { return p.stated && p.isCollector }
	return s.isEnough(isUrgent, silenceOf, isAsked, func(p *settledPeer) bool { return p.windows.contains(window) })
}

// isEnough reports whether all asked peers in contact meet a condition, or at least one if that is sufficient. It is true
// if no peer is asked, or no message of them has arrived within contactTimeout.
func (s *settledWindows) isEnough(oneSuffices bool, silenceOf silenceOf, isAsked, meets func(*settledPeer) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	met, missing, silent := 0, 0, 0
	for address, p := range s.peers {
		silence, ok := silenceOf(address)
		switch {
		case !isAsked(p):
		case meets(p):
			met++
		case ok && silence < loadTimeout:
			missing++
		case ok && silence < contactTimeout:
			silent++
		}
	}
	return met+missing+silent == 0 || met > 0 && (missing == 0 || oneSuffices)
}
