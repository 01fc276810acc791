package chivewire

import "chivedrift/chivering"

// Message is a received message with its sender.
type Message struct {
	From string
	Body any
}

// Inbox queues messages of several kinds, so that one goroutine handles them in their order.
type Inbox struct {
	mesh *Mesh
	ring *chivering.Ring[Message]
}

// NewInbox returns an inbox for so many messages of a mesh; a full one drops further messages, which the protocol above repairs.
func NewInbox(mesh *Mesh, size int) *Inbox {
	return &Inbox{mesh: mesh, ring: chivering.New[Message](size)}
}

// Queue has the messages of a kind, which are of type T, put into the inbox; it is called before the mesh starts.
func Queue[T any](in *Inbox, kind Kind) {
	Receive(in.mesh, kind, func(from string, body T) { in.Offer(Message{From: from, Body: body}) })
}

// Offer puts a message into the inbox, and reports whether there was room.
func (in *Inbox) Offer(m Message) bool { return in.ring.Offer(m) }

// Ready returns where the messages come out.
func (in *Inbox) Ready() <-chan Message { return in.ring.Ready() }

// Depth returns how full the inbox is and was, and what it refused.
func (in *Inbox) Depth() chivering.Depth { return in.ring.Depth() }
