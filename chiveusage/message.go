package chiveusage

// Starts is a batch of request starts that a node sends to a collector.
type Starts struct {
	// Incarnation identifies the sender's process.
	Incarnation int64
	// ClockMs is the sender's clock since boot, WallMs its wall-clock time in Unix milliseconds, both at the time of sending.
	ClockMs int64
	WallMs  int64
	// Oldest is the number of the oldest start that the sender retains, First that of the first one in this message.
	Oldest uint64
	First  uint64
	// AgesMs holds the time since each start, Teams the index of its team in Names.
	AgesMs []int64
	Teams  []int
	Names  []string
	// Loads holds the numbers of requests in progress at the sender, by pool.
	Loads map[string]int64
	// More means that the sender has further starts for this collector.
	More bool
}

// StartsAck acknowledges the starts of a node up to, but excluding, Next.
type StartsAck struct {
	// Incarnation is that of the acknowledged sender, Collector that of the collector's process.
	Incarnation int64
	Collector   int64
	Next        uint64
}
