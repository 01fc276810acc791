// Package chivetransfer passes one large document, the operators' configuration, from node to node in parts that the receiver asks for:
// compressed, from one peer at a time, and by each peer to a few at a time. It decides only; a service sends its messages.
//
// A document's way: Compress makes an Edition of a version, a Sender hands out its parts, a Receiver asks for them one after the other and puts
// them together. Whoever has an edition whole becomes a source for the others, so the number of sources doubles with each copy's time on the
// slowest link, whatever the size of the fleet.
package chivetransfer
