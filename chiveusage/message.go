package chiveusage

// Starts is a message from a node to a collector with the starts of some of its requests, in order. Each start of a
// sender has a sequence number.
type Starts struct {
	// Incarnation identifies the process of the sender.
	Incarnation int64
	// ClockMs is the sender's clock since boot, WallMs its wall-clock time since the Unix epoch, both in milliseconds
	// and at the time of sending.
	ClockMs int64
	WallMs  int64
	// Oldest is the sequence number of the oldest start that the sender retains, First that of the first one in this
	// message.
	Oldest uint64
	First  uint64
	// AgesMs holds the time since each start in milliseconds, Teams the index of its team in Names.
	AgesMs []int64
	Teams  []int
	Names  []string
	// Loads holds the numbers of requests in progress at the sender, by pool.
	Loads map[string]int64
	// More means that the sender has further starts for this collector.
	More bool
}

// StartsAck acknowledges the starts of a node with sequence numbers below Next.
type StartsAck struct {
	// Incarnation is that of the acknowledged sender, Collector the incarnation of the collector.
	Incarnation int64
	Collector   int64
	Next        uint64
}
