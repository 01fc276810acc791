package chivequarantine

import (
	"time"

	"chivedrift/chiverequest"
	"chivedrift/chivewire"
)

// reports are crashes and answers of one class on their way from or to a peer.
type reports struct {
	class   class
	crashes []Crash
	answers []Answer
	// full means that this is the sender's full state, and that it requests the reports it lacks.
	full bool
}

func (r reports) isEmpty() bool { return len(r.crashes)+len(r.answers) == 0 }

// message returns the kind and the body of the message with the reports.
func (r reports) message(now time.Time) (kind chivewire.Kind, body any) {
	answers := make([]AnswerReport, 0, len(r.answers))
	for _, a := range r.answers {
		answers = append(answers, newAnswerReport(now, a))
	}
	if r.class == classParts {
		update := PartUpdate{Answers: answers, Full: r.full}
		for _, c := range r.crashes {
			update.Crashes = append(update.Crashes, newPartCrashReport(now, c))
		}
		return chivewire.KindPartCrashUpdate, update
	}
	update := Update{Answers: answers, Full: r.full}
	for _, c := range r.crashes {
		update.Crashes = append(update.Crashes, newCrashReport(now, c))
	}
	return chivewire.KindCrashUpdate, update
}

func (u Update) reports(now time.Time) reports {
	r := reports{class: classRequests, answers: answersOf(now, u.Answers), full: u.Full}
	for _, c := range u.Crashes {
		r.crashes = append(r.crashes, c.crash(now))
	}
	return r
}

func (u PartUpdate) reports(now time.Time) reports {
	r := reports{class: classParts, answers: answersOf(now, u.Answers), full: u.Full}
	for _, c := range u.Crashes {
		r.crashes = append(r.crashes, c.crash(now))
	}
	return r
}

func answersOf(now time.Time, received []AnswerReport) []Answer {
	answers := make([]Answer, 0, len(received))
	for _, a := range received {
		answers = append(answers, a.answer(now))
	}
	return answers
}

// digestMessage returns the kind and the body of the message with the digest of a class.
func digestMessage(class class, sum uint64) (kind chivewire.Kind, body any) {
	if class == classParts {
		return chivewire.KindPartCrashDigest, PartDigest{Sum: sum}
	}
	return chivewire.KindCrashDigest, Digest{Sum: sum}
}

// outgoing holds the reports that have not been sent to the peers yet.
type outgoing struct {
	reports  [classCount]reports
	alive    []AliveReport
	failures []FailureReport
}

func newOutgoing() outgoing {
	return outgoing{reports: [classCount]reports{{class: classRequests}, {class: classParts}}}
}

func (o *outgoing) isEmpty() bool {
	return o.reports[classRequests].isEmpty() && o.reports[classParts].isEmpty() && len(o.alive)+len(o.failures) == 0
}

// fingerprintsOf returns the fingerprints by which a request may be quarantined: its own and those of its shared parts.
func fingerprintsOf(request *chiverequest.Request) []chiverequest.Fingerprint {
	fingerprints := make([]chiverequest.Fingerprint, 0, 1+len(request.Shared))
	fingerprints = append(fingerprints, request.Content)
	for _, p := range request.Shared {
		fingerprints = append(fingerprints, p.Key)
	}
	return fingerprints
}
