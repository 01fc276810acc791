package chivequarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivewire"

	"github.com/cespare/xxhash/v2"
)

// What a node learns goes to its partners, and from each that did not know it to its own: at most as many steps as the size of the fleet has
// binary digits. Comparisons make up for what is lost, and cost nothing while nothing is known.

// say keeps something for the partners; the caller holds the lock.
func (s *Service) say(ends []EndNews, answers []AnswerNews) {
	if len(ends)+len(answers) == 0 {
		return
	}
	s.unsaid.Ends = append(s.unsaid.Ends, ends...)
	s.unsaid.Answers = append(s.unsaid.Answers, answers...)
	select {
	case s.wake <- struct{}{}:
	default:
		// The partners are about to be told anyway.
	}
}

// passOn tells the partners what they have not been told.
func (s *Service) passOn() {
	s.mu.Lock()
	news, partners := s.unsaid, s.partners
	s.unsaid = News{}
	s.mu.Unlock()
	if len(news.Ends)+len(news.Answers) == 0 {
		return
	}
	for _, p := range partners {
		s.send(p, chivewire.KindEndNews, news)
	}
}

// learn takes what a peer knows, and passes on what is new.
func (s *Service) learn(now time.Time, from string, news News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ends []EndNews
	for _, n := range news.Ends {
		if s.register.AddEnd(now, n.end(now)) {
			ends = append(ends, n)
		}
	}
	var answers []AnswerNews
	for _, n := range news.Answers {
		if s.register.AddAnswer(now, n.answered(now)) {
			answers = append(answers, n)
		}
	}
	s.say(ends, answers)
	for _, n := range ends {
		s.vouch(now, n.Content)
	}
	s.decide()
	if news.Whole {
		s.tellMissing(now, from, news)
	}
}

// tellMissing tells a peer that has told all it knows what it lacks; the caller holds the lock.
func (s *Service) tellMissing(now time.Time, to string, theirs News) {
	known := make(map[chiverequest.Fingerprint][]End)
	for _, n := range theirs.Ends {
		known[n.Content] = append(known[n.Content], n.end(now))
	}
	own := s.whole(now)
	own.Ends = slices.DeleteFunc(own.Ends, func(n EndNews) bool { return slices.ContainsFunc(known[n.Content], n.end(now).isSame) })
	own.Whole = false
	if len(own.Ends) > 0 || len(own.Answers) > len(theirs.Answers) {
		s.send(to, chivewire.KindEndNews, own)
	}
}

// whole is all that this node knows; the caller holds the lock.
func (s *Service) whole(now time.Time) News {
	news := News{Whole: true}
	for _, e := range s.register.Ends() {
		news.Ends = append(news.Ends, newEndNews(now, e))
	}
	for _, a := range s.register.Answers() {
		news.Answers = append(news.Answers, newAnswerNews(now, a))
	}
	return news
}

// sum is the same for two nodes that know the same ends, and 0 for one that knows none; the caller holds the lock.
func (s *Service) sum() uint64 {
	sum := uint64(0)
	for _, e := range s.register.Ends() {
		sum ^= xxhash.Sum64String(string(e.Content) + e.Reporter + strconv.FormatInt(e.Number, 10))
	}
	return sum
}

// compare answers a peer that knows something else.
func (s *Service) compare(now time.Time, from string, theirs Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sum() != theirs.Sum {
		s.send(from, chivewire.KindEndNews, s.whole(now))
	}
}

// tend forgets what is old, and compares with one partner when something is known.
func (s *Service) tend(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register.Forget(now)
	s.decide()
	s.forgetTrials(now)
	if s.register.Empty() || len(s.partners) == 0 {
		return
	}
	s.send(s.partners[rand.IntN(len(s.partners))], chivewire.KindEndDigest, Digest{Sum: s.sum()})
}

// send passes a message to the mesh; one that is lost is made up for by the next comparison.
func (s *Service) send(to string, kind chivewire.Kind, body any) {
	_ = s.o.Mesh.Send(to, kind, body)
}
