package chivequarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chiveroute"
	"chivedrift/chivewire"

	"github.com/cespare/xxhash/v2"
)

// What a node learns goes to its partners, and from each that did not know it to its own: at most as many steps as the size of the fleet has
// binary digits. Comparisons make up for what is lost, and cost nothing while nothing is known.
//
// In a large fleet that is so from the second endpoint on that ends under a request. A single end says nothing yet, and when a part of the engines
// crashes there are thousands of them; it goes to the request's collectors alone, who tell all once they know of two.

const (
	// shareAllUpTo is the largest fleet in which single ends go to all.
	shareAllUpTo = 16
	// shareFrom is how many endpoints have to have ended under a request for all to hear of it in a larger one.
	shareFrom = 2
	// collectors is how many nodes collect the ends under a request, so that one of them may be gone.
	collectors = 2
)

// isShared tells whether all nodes are to know of the ends under a request; the caller holds the lock.
func (s *Service) isShared(content chiverequest.Fingerprint) bool {
	return len(s.members) <= shareAllUpTo || s.register.Endpoints(content) >= shareFrom
}

// report tells others of an end that this node has found out; the caller holds the lock.
func (s *Service) report(now time.Time, e End) {
	if s.isShared(e.Content) {
		s.say(s.endsOf(now, e.Content), nil)
		return
	}
	news := News{Ends: []EndNews{newEndNews(now, e)}}
	ranked := chiveroute.Ranked("ends/"+string(e.Content), "", s.members)
	for _, m := range ranked[:min(collectors, len(ranked))] {
		if m.Address != s.o.Mesh.Self() {
			s.send(m.Address, chivewire.KindEndNews, news)
		}
	}
}

// endsOf returns all that is known of the ends under a request; the caller holds the lock.
func (s *Service) endsOf(now time.Time, content chiverequest.Fingerprint) []EndNews {
	var ends []EndNews
	for _, e := range s.register.EndsOf(content) {
		ends = append(ends, newEndNews(now, e))
	}
	return ends
}

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
	learnt := make(map[chiverequest.Fingerprint]bool)
	for _, n := range news.Ends {
		if s.register.AddEnd(now, n.end(now)) {
			learnt[n.Content] = true
		}
	}
	var ends []EndNews
	for content := range learnt {
		if s.isShared(content) {
			ends = append(ends, s.endsOf(now, content)...)
		}
	}
	var answers []AnswerNews
	for _, n := range news.Answers {
		if s.register.AddAnswer(now, n.answered(now)) {
			answers = append(answers, n)
		}
	}
	s.say(ends, answers)
	for content := range learnt {
		s.vouch(now, content)
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

// shared returns the ends that all nodes are to know; the caller holds the lock.
func (s *Service) shared() []End {
	return slices.DeleteFunc(s.register.Ends(), func(e End) bool { return !s.isShared(e.Content) })
}

// whole is all that this node knows and others are to know; the caller holds the lock.
func (s *Service) whole(now time.Time) News {
	news := News{Whole: true}
	for _, e := range s.shared() {
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
	for _, e := range s.shared() {
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
	sum := s.sum()
	if sum == 0 || len(s.partners) == 0 {
		return
	}
	s.send(s.partners[rand.IntN(len(s.partners))], chivewire.KindEndDigest, Digest{Sum: sum})
}

// send passes a message to the mesh; one that is lost is made up for by the next comparison.
func (s *Service) send(to string, kind chivewire.Kind, body any) {
	_ = s.o.Mesh.Send(to, kind, body)
}
