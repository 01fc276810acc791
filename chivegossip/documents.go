package chivegossip

import (
	"context"
	"log/slog"
	"time"

	"chivedrift/chiveevent"
	"chivedrift/chivetransfer"
	"chivedrift/chivewire"
)

// A document is transferred between peers in parts that the receiver requests (package chivetransfer); without a
// request, nodes only send their version. When nodes sent whole documents to every peer that showed an older version,
// the eight readers of 78 nodes on links of 10 Mbit/s each sent 25 copies of 300 KB at once; most nodes had the change
// 4.1 s after they had heard of it, and heartbeats queued behind the copies were lost.

// connectionLost is put into the inbox when the connection to a peer is lost.
type connectionLost struct{}

// recordVersion records which version a peer has.
func (s *Service) recordVersion(from string, version int64) {
	s.options.Tables.Hear(version, "peer "+from)
	s.receiver.Hear(from, version)
	s.sender.Hear(from, version)
}

// requestDocumentPart requests a part of a newer document if one is due, and sets the timer for the next attempt.
func (s *Service) requestDocumentPart() {
	now := time.Now()
	if peer, request, ok := s.receiver.Next(now, s.options.Tables.Version()); ok {
		s.send(peer, chivewire.KindDocumentAsk, request)
	}
	next, ok := s.receiver.Wake(now)
	if !ok {
		s.fetchTimer.Stop()
		return
	}
	s.fetchTimer.Reset(time.Until(next))
}

// serveDocumentPart answers a peer that requests a part.
func (s *Service) serveDocumentPart(from string, request chivetransfer.Ask) {
	s.compressDocument()
	part, refusal := s.sender.Answer(time.Now(), from, request)
	if refusal != nil {
		s.send(from, chivewire.KindDocumentRefusal, refusal)
		return
	}
	s.send(from, chivewire.KindDocumentPart, part)
}

// compressDocument compresses the document in force, on the first request since it came into force.
func (s *Service) compressDocument() {
	if s.sender.Version() >= s.options.Tables.Version() {
		return
	}
	document, version := s.options.Tables.Document()
	edition, err := chivetransfer.Compress(version, document)
	if err != nil {
		chiveevent.TableNotPassed.Log(context.Background(), s.options.Logger, slog.Int64("version", version), slog.String("error", err.Error()))
		return
	}
	s.sender.Add(edition)
}

// receiveDocumentPart stores a part, and puts the document in force once it is complete.
func (s *Service) receiveDocumentPart(from string, part chivetransfer.Part) {
	edition, complete := s.receiver.Take(from, part)
	if !complete {
		return
	}
	document, err := edition.Document()
	if err != nil {
		chiveevent.TableRejected.Log(context.Background(), s.options.Logger, slog.String("source", "peer "+from), slog.String("error", err.Error()))
		s.receiver.Useless(edition.Version())
		return
	}
	s.options.Tables.Learn(document, "peer "+from)
	if s.options.Tables.Version() < edition.Version() {
		s.receiver.Useless(edition.Version())
		return
	}
	s.sender.Add(edition)
	// The sender may now serve the next peer, and refer others to this node.
	s.send(from, chivewire.KindDigestAnswer, s.localDigest())
}
