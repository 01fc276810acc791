package chiveduration

import (
	"math"
	"time"

	"chivedrift/chiverequest"
)

// keptSamples is the number of requests that are kept of each kind.
const keptSamples = 128

// sample is a request that has ended. Sizes are logarithms of numbers of output tokens, or -1 if they are not known.
type sample struct {
	logTook            float64
	hinted, most, made float64
	streamed           bool
}

// unknownSize stands for a size that is not known.
const unknownSize = -1

func newSample(prompt *chiverequest.Prompt, ran Ran) sample {
	s := sample{math.Log(max(ran.Took, time.Microsecond).Seconds()), unknownSize, unknownSize, logSize(int64(ran.Events)), ran.Streamed}
	if prompt != nil {
		s.hinted, s.most = logSize(prompt.HintedOutput), logSize(prompt.MostOutput)
	}
	return s
}

func logSize(tokens int64) float64 {
	if tokens <= 0 {
		return unknownSize
	}
	return math.Log(float64(tokens))
}

// samples holds the last requests of a kind.
type samples struct {
	kept []sample
	// next is the index of the oldest one once there are keptSamples.
	next int
}

func (s *samples) add(made sample) {
	if len(s.kept) < keptSamples {
		s.kept = append(s.kept, made)
		return
	}
	s.kept[s.next] = made
	s.next = (s.next + 1) % keptSamples
}

// isStreamed reports whether the response to any of the requests was passed on before its end.
func (s *samples) isStreamed() bool {
	for _, made := range s.kept {
		if made.streamed {
			return true
		}
	}
	return false
}

// longest returns the longest time that a request took.
func (s *samples) longest() time.Duration {
	longest := math.Inf(-1)
	for _, made := range s.kept {
		longest = max(longest, made.logTook)
	}
	return time.Duration(min(math.Exp(longest)*float64(time.Second), float64(maxBound)))
}

// statedBound returns the time that a request exceeds with a chance, by those that stated a size as it does, or else by all.
func (s *samples) statedBound(prompt *chiverequest.Prompt, chance float64) time.Duration {
	wanted := newSample(prompt, Ran{})
	for _, stated := range []struct {
		size      func(sample) float64
		deviation float64
	}{
		{func(s sample) float64 { return s.hinted }, hintedDeviation},
		{func(s sample) float64 { return s.most }, statedDeviation},
	} {
		if size := stated.size(wanted); size >= 0 {
			if f := s.fit(stated.size, stated.deviation); f.isKnown() {
				return f.bound(size, chance)
			}
		}
	}
	f := s.fit(func(sample) float64 { return 0 }, statedDeviation)
	return f.bound(0, chance)
}

// madeBound returns the time that a request exceeds with a chance, if it has as many events as it may have at most.
func (s *samples) madeBound(prompt *chiverequest.Prompt, chance float64) (bound time.Duration, known bool) {
	f := s.fit(func(s sample) float64 { return s.made }, madeDeviation)
	if !f.isKnown() || prompt.MostOutput <= 0 {
		return 0, false
	}
	return f.bound(logSize(prompt.MostOutput), chance), true
}
