package chiveplace

import "time"

// prefillWork is what an engine does until the first event of a request, in tokens: those of the request that it
// prefills, those that it fetches from another engine, and those queued ahead.
type prefillWork struct {
	prefillTokens int64
	fetchTokens   int64
	queuedAhead   int64
}

// ttftPredictor predicts the time to the first event (TTFT) as a fixed time plus a time for each token that the engine
// prefills for the request itself, fetches, or has queued ahead. Prefilled and queued tokens have different weights:
// part of the queue has been prefilled when the request arrives, and nodes learn of it late, so a queued token costs
// between half and all of the time of a prefilled one. The four weights are learnt from every first event by recursive
// least squares with exponential forgetting.
type ttftPredictor struct {
	// weights are in milliseconds: the fixed time, and the times for 1000 prefilled, 1000 fetched and 1000 queued
	// tokens.
	weights [featureCount]float64
	// covariance is the inverse of the weighted sum of the outer products of the features.
	covariance [featureCount][featureCount]float64
}

const featureCount = 4

const (
	// The initial weights are those of an average engine, which prefills about 30 tokens a millisecond. A few dozen
	// answers replace them.
	initialFixedMs   = 30.0
	initialPrefillMs = 35.0
	initialFetchMs   = 5.0
	initialQueuedMs  = 25.0
	// forgettingFactor multiplies the weight of earlier answers with each new one: the last 200 count, which one node
	// gets in half a minute.
	forgettingFactor = 0.995
	// initialVariance is the uncertainty of the initial weights: an answer of a few thousand tokens moves them by a
	// tenth.
	initialVariance = 0.05
	tokensPerUnit   = 1000.0
	// minWeightMs and maxWeightMs limit the learnt times for 1000 tokens: the fastest links transfer 2,500 tokens a
	// millisecond, the slowest engines prefill 2. maxWeightMs also limits the fixed time.
	minWeightMs = 0.4
	maxWeightMs = 500.0
	// maxRelativeError limits by how much one answer may exceed its prediction, relative to the prediction: a machine
	// that was suspended for seconds, or an engine that has become slow, says nothing about the others.
	maxRelativeError = 1.0
)

func newTTFTPredictor() ttftPredictor {
	p := ttftPredictor{weights: [featureCount]float64{initialFixedMs, initialPrefillMs, initialFetchMs, initialQueuedMs}}
	for i := range featureCount {
		p.covariance[i][i] = initialVariance
	}
	p.covariance[0][0] = initialVariance * tokensPerUnit
	return p
}

func (w prefillWork) features() [featureCount]float64 {
	return [featureCount]float64{1, float64(w.prefillTokens) / tokensPerUnit, float64(w.fetchTokens) / tokensPerUnit, float64(w.queuedAhead) / tokensPerUnit}
}

// predict returns the predicted TTFT in milliseconds.
func (p *ttftPredictor) predict(w prefillWork) float64 {
	sum := 0.0
	for i, x := range w.features() {
		sum += p.weights[i] * x
	}
	return sum
}

// prefillMs predicts the time for tokens that are prefilled for the request itself, in milliseconds.
func (p *ttftPredictor) prefillMs(tokens float64) float64 {
	return p.weights[1] * tokens / tokensPerUnit
}

// queuedMs predicts the time for queued tokens, in milliseconds.
func (p *ttftPredictor) queuedMs(tokens int64) float64 {
	return p.weights[3] * float64(tokens) / tokensPerUnit
}

// fetchMs predicts the time for fetched tokens, in milliseconds.
func (p *ttftPredictor) fetchMs(tokens int64) float64 {
	return p.weights[2] * float64(tokens) / tokensPerUnit
}

// update learns from the actual TTFT of a request.
func (p *ttftPredictor) update(w prefillWork, took time.Duration) {
	x := w.features()
	// Long prefills vary more, so an answer has a weight inverse to its predicted time.
	weight := initialFixedMs / max(p.predict(w), initialFixedMs)
	var gain [featureCount]float64
	scale := forgettingFactor / weight
	for i := range featureCount {
		for j := range featureCount {
			gain[i] += p.covariance[i][j] * x[j]
		}
		scale += x[i] * gain[i]
	}
	predicted := p.predict(w)
	residual := min(float64(took)/float64(time.Millisecond)-predicted, maxRelativeError*max(predicted, initialFixedMs))
	for i := range featureCount {
		p.weights[i] += gain[i] / scale * residual
	}
	for i := range featureCount {
		for j := range featureCount {
			p.covariance[i][j] = (p.covariance[i][j] - gain[i]*gain[j]/scale) / forgettingFactor
		}
	}
	p.clamp()
}

// clamp keeps a few outliers from making the weights useless, and resets the covariance when it has grown too large
// because of too few requests.
func (p *ttftPredictor) clamp() {
	p.weights[0] = min(max(p.weights[0], 0), maxWeightMs)
	for i := 1; i < featureCount; i++ {
		p.weights[i] = min(max(p.weights[i], minWeightMs), maxWeightMs)
	}
	for i := range featureCount {
		if p.covariance[i][i] > initialVariance*tokensPerUnit {
			*p = ttftPredictor{weights: p.weights, covariance: newTTFTPredictor().covariance}
			return
		}
	}
}
