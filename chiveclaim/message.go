package chiveclaim

// Write asks the writer of a slot to append an entry; an outcome needs no reply.
type Write struct {
	Slot    int
	Entry   Entry
	WindowS int64
}

// Ask asks how a request stands with a key, without writing.
type Ask struct {
	Slot    int
	Key     string
	Request string
	WindowS int64
}

// Reply tells how a request stands with a key; Failed means that the claim is certainly or possibly not on the log.
type Reply struct {
	Key      string
	Request  string
	Standing Standing
	Failed   bool
	Free     bool
	Known    bool
	Outcome  Outcome
}
