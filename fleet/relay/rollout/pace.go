package rollout

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the half-life of recent answers.
	paceHalfLife = 700 * time.Millisecond
	// minPacePart is the part of the typical number of answers below which nodes count as silent, if
	// the number is also more than paceDeviations standard errors lower.
	minPacePart    = 0.75
	paceDeviations = 2.0
	// silentPart is the part of the typical number of answers that is left where most nodes are
	// silent, and silenceLimit the logarithm of the likelihood ratio from which that counts as the
	// case: a hundred to one. Silence shows sooner by it than by the mean of recent answers.
	silentPart   = 0.1
	silenceLimit = 4.6
	// stallGap is the shortest gap in the evidence that counts as a stall of the decider itself:
	// nodes report several times as often.
	stallGap = 700 * time.Millisecond
)

// pace tracks how fast evidence comes in. While nodes or the decider stall, answers are missing, and
// the time that passes proves nothing. It is an immutable value.
type pace struct {
	baselineSince   time.Time // start of the baseline, once other nodes' reports were received
	baselineAnswers int       // answers before baselineSince
	evidenceStart   time.Time // when evidence first came in
	answers         int       // answers in the latest evidence
	recentAnswers   float64   // recent answers, decaying
	recentSeconds   float64   // seconds in which they came, decaying likewise
	silence         float64   // evidence that most nodes are silent since some moment, as a logarithm
	latestAt        time.Time // time of the latest evidence
	missingAt       time.Time // when answers were last missing
	resumedAt       time.Time // when evidence resumed after a stall
}

// with records the number of answers of an order of which the given time is used. What others
// observed before a decider started arrives with their first reports and is not a rate: until then
// the pace is unknown.
func (p pace) with(all int, used time.Duration, now time.Time) pace {
	if p.latestAt.IsZero() {
		p.evidenceStart, p.latestAt, p.answers = now, now, all
		return p
	}
	elapsed := max(now.Sub(p.latestAt), time.Millisecond)
	retained := retention(elapsed, paceHalfLife)
	more := float64(all - p.answers)
	p.recentAnswers, p.recentSeconds = p.recentAnswers*retained+more, p.recentSeconds*retained+elapsed.Seconds()
	p.latestAt, p.answers = now, all
	stillReceiving := p.baselineSince.Before(p.evidenceStart.Add(minOutage))
	if elapsed >= stallGap {
		p.resumedAt, p.missingAt = now, now
		if stillReceiving {
			p.evidenceStart = now // what others observed meanwhile is still to be received
		}
	}
	if stillReceiving {
		p.baselineSince, p.baselineAnswers, p.recentAnswers, p.recentSeconds, p.missingAt = now, all, 0, 0, now
		return p
	}
	// Lost nodes take their counts with them, and a decider that has just started may have observed
	// only a stall: the greater rate is the typical one.
	perSecond := max(float64(all)/used.Seconds(), float64(all-p.baselineAnswers)/max(now.Sub(p.baselineSince), time.Millisecond).Seconds())
	typical := perSecond * p.recentSeconds
	p.silence = nextSilence(p.silence, more, perSecond*elapsed.Seconds())
	if p.silence >= silenceLimit || p.recentAnswers+paceDeviations*math.Sqrt(typical) < minPacePart*typical {
		p.missingAt = now
	}
	return p
}

// nextSilence adds the answers of an interval to the evidence of silence. It is a sequential
// likelihood ratio, bounded on both sides so that it follows each beginning and end at once.
func nextSilence(before, answers, typical float64) float64 {
	return min(max(before+(1-silentPart)*typical+answers*math.Log(silentPart), 0), silenceLimit)
}
