package overload

import "slices"

const (
	// shortAnswer is the fraction of a route's usual answer length below which an answer is short,
	// as rejections are.
	shortAnswer = 1.0 / 3
	// learnedAfter is the number of answers from which the usual length is initialized, as their
	// upper quartile, since most of a daemon's first answers may be rejections.
	learnedAfter = 16
	// riseStep and fallStep are the relative steps by which the usual length moves up for a longer
	// answer and down for a shorter one. Their ratio makes it track the length that one answer in
	// six exceeds (Robbins, Monro, "A Stochastic Approximation Method", 1951), so that it
	// withstands five rejections in six answers. relearnStep is the step for a short answer.
	riseStep    = 0.05
	fallStep    = 0.01
	relearnStep = 0.0005
	// mostRoutes bounds the routes with learned lengths.
	mostRoutes = 4096
)

const (
	// fastMemory is the window, in answers, of the current share of short answers.
	fastMemory = 64
	// usualMemory is the window of the baseline share, boundedMemory that while the limit is
	// active: minutes of rejections must not become the baseline.
	usualMemory   = 4096
	boundedMemory = 32768
	// mostUsualBegun caps the baseline initialized from the first fastMemory answers, so that a
	// daemon that starts during overload detects it.
	mostUsualBegun = 0.25
	// Short answers count as rejections while their current share exceeds countsTimes the baseline
	// plus countsOver. The factor absorbs the variance of fastMemory answers, the margin a few
	// failing targets; the margin must be below Config.Rejected, at which the limit is stable.
	countsTimes = 2
	countsOver  = 0.05
)

// lengths tells a route's rejections from its other answers: rejections are short, and there are
// more short answers than in the baseline.
type lengths struct {
	// first holds the answer lengths from which the usual length is initialized.
	first []uint32
	// usual is the usual length in bytes, an estimate of a high quantile.
	usual float64
	// count is the number of classified answers; now and before are the current and the baseline
	// share of short ones, as EWMAs.
	count       int
	now, before float64
}

func (c *Controller) lengthsOf(route uint32) *lengths {
	held := c.lengths[route]
	if held == nil {
		if len(c.lengths) >= mostRoutes {
			clear(c.lengths) // routes in use are learned again
		}
		held = &lengths{}
		c.lengths[route] = held
	}
	return held
}

// note handles an answer. It returns its contribution to the evidence of overload, negative if
// there are no more short answers than in the baseline, and whether it counts as a rejection.
// memory is the window of the baseline share.
func (l *lengths) note(length uint32, memory float64) (excess float64, isRejection bool) {
	if l.usual == 0 {
		l.begin(length)
		return 0, false
	}
	isShort := float64(length) < l.usual*shortAnswer
	l.follow(float64(length), isShort)
	l.share(isShort, memory)
	excess = -countsTimes * l.before
	if isShort {
		excess++
	}
	return excess, isShort && l.counts()
}

// counts reports whether short answers currently count as rejections.
func (l *lengths) counts() bool {
	return l.count > fastMemory && l.now > countsTimes*l.before+countsOver
}

// begin collects the first answers and initializes the usual length from them.
func (l *lengths) begin(length uint32) {
	l.first = append(l.first, length)
	if len(l.first) < learnedAfter {
		return
	}
	slices.Sort(l.first)
	l.usual = max(1, float64(l.first[learnedAfter*3/4]))
	l.first = nil
}

// follow updates the usual length.
func (l *lengths) follow(length float64, isShort bool) {
	switch {
	case length > l.usual:
		l.usual *= 1 + riseStep
	case isShort:
		l.usual /= 1 + relearnStep
	default:
		l.usual /= 1 + fallStep
	}
}

// share updates the shares of short answers.
func (l *lengths) share(isShort bool, memory float64) {
	hit := 0.0
	if isShort {
		hit = 1
	}
	l.count++
	l.now += (hit - l.now) / min(float64(l.count), fastMemory)
	if l.count <= fastMemory {
		l.before = min(l.now, mostUsualBegun)
		return
	}
	l.before += (hit - l.before) / memory
}
