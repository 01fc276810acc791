package chivewire

import "chivedrift/chivering"

// Message is a decoded message with the address of its sender.
type Message struct {
	From string
	Body any
}

// Inbox queues messages of several kinds so that one goroutine can handle them in order of arrival.
type Inbox struct {
	mesh  *Mesh
	queue *chivering.Ring[Message]
}

// NewInbox returns an inbox that holds up to size messages from a mesh. A full inbox drops further messages; the
// protocol that uses it must recover from the loss.
func NewInbox(mesh *Mesh, size int) *Inbox {
	return &Inbox{mesh: mesh, queue: chivering.New[Message](size)}
}

// Queue makes the inbox receive the messages of a kind, decoded as T. It must be called before the mesh starts.
func Queue[T any](in *Inbox, kind Kind) {
	Receive(in.mesh, kind, func(from string, body T) { in.Offer(Message{From: from, Body: body}) })
}

// Offer adds a message to the inbox and reports whether there was room for it.
func (in *Inbox) Offer(m Message) bool { return in.queue.Offer(m) }

// Ready returns the channel from which queued messages are received.
func (in *Inbox) Ready() <-chan Message { return in.queue.Ready() }

// Depth returns the current and highest number of queued messages and how many were dropped.
func (in *Inbox) Depth() chivering.Depth { return in.queue.Depth() }
