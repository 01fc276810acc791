package chiveduration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// assumedSamples is the number of samples that the assumed deviation counts for.
	assumedSamples = 2.0
	// slopeWeight is the weight of the assumption that durations are in proportion to sizes, as a sum of squared deviations.
	slopeWeight = 4.0
)

// fit is a linear regression of the logarithm of durations on that of sizes.
type fit struct {
	count                   float64
	meanSize, meanTook      float64
	slope                   float64
	squaredSizes, deviation float64
	least                   float64
	// rests are the differences between the samples and the line, the largest first.
	rests []float64
}

// fit returns the regression of the samples whose size is known. assumed is the assumed deviation from the line.
func (s *samples) fit(size func(sample) float64, assumed float64) fit {
	f := fit{least: math.Inf(1)}
	for _, made := range s.kept {
		if x := size(made); x >= 0 {
			f.count++
			f.meanSize += x
			f.meanTook += made.logTook
			f.least = min(f.least, x)
		}
	}
	if f.count == 0 {
		return f
	}
	f.meanSize /= f.count
	f.meanTook /= f.count
	mixed := 0.0
	for _, made := range s.kept {
		if x := size(made); x >= 0 {
			f.squaredSizes += (x - f.meanSize) * (x - f.meanSize)
			mixed += (x - f.meanSize) * (made.logTook - f.meanTook)
		}
	}
	f.slope = max(0, (mixed+slopeWeight)/(f.squaredSizes+slopeWeight))
	squares := assumedSamples * assumed * assumed
	for _, made := range s.kept {
		if x := size(made); x >= 0 {
			rest := made.logTook - f.line(x)
			f.rests = append(f.rests, rest)
			squares += rest * rest
		}
	}
	f.deviation = math.Sqrt(squares / f.freedom())
	slices.SortFunc(f.rests, func(a, b float64) int { return cmp.Compare(b, a) })
	return f
}

func (f *fit) isKnown() bool { return f.count > 0 }

// freedom returns the degrees of freedom of the deviation.
func (f *fit) freedom() float64 { return assumedSamples + f.count - 1 }

// line returns the logarithm of the duration of a size.
func (f *fit) line(size float64) float64 { return f.meanTook + f.slope*(size-f.meanSize) }

// bound returns the duration that a request of a size exceeds with a chance. Sizes below all samples count as the least of these,
// since a part of each duration does not depend on the size.
func (f *fit) bound(size, chance float64) time.Duration {
	size = max(size, f.least)
	offset := size - f.meanSize
	width := math.Sqrt(1 + 1/f.count + offset*offset/(f.squaredSizes+slopeWeight))
	logTook := f.line(size) + f.quantile(chance, width)
	return time.Duration(min(math.Exp(logTook)*float64(time.Second), float64(maxBound)))
}

// quantile returns the difference to the line that a request exceeds with a chance: the one that samples have exceeded as often, or,
// where they are too few for that, the largest of them, and no less than with a normal distribution of unknown deviation.
func (f *fit) quantile(chance, width float64) float64 {
	if exceeded := int(chance * (f.count + 1)); exceeded > 0 {
		return f.rests[exceeded-1] * width
	}
	return max(f.rests[0]*width, studentQuantile(chance, f.freedom())*f.deviation*width)
}

// studentQuantile returns the value that a variable of Student's distribution exceeds with a chance, by an expansion about the normal
// distribution, for at least two degrees of freedom.
func studentQuantile(chance, freedom float64) float64 {
	z := math.Sqrt2 * math.Erfinv(1-2*chance)
	z3, z5, z7 := z*z*z, z*z*z*z*z, z*z*z*z*z*z*z
	return z + (z3+z)/(4*freedom) + (5*z5+16*z3+3*z)/(96*freedom*freedom) +
		(3*z7+19*z5+17*z3-15*z)/(384*freedom*freedom*freedom)
}
