package overload

import "slices"

const (
	// shortRatio is the fraction of a route's usual response length below which a response is short,
	// as rejections are.
	shortRatio = 1.0 / 3
	// initialResponses is the number of responses from which the usual length is initialized, as their
	// upper quartile, since most of a daemon's first responses may be rejections.
	initialResponses = 16
	// riseStep and fallStep are the relative steps by which the usual length moves up for a longer
	// response and down for a shorter one. Their ratio makes it track the length that one response in
	// six exceeds (Robbins, Monro, "A Stochastic Approximation Method", 1951), so that it
	// withstands five rejections in six responses. relearnStep is the step for a short response.
	riseStep    = 0.05
	fallStep    = 0.01
	relearnStep = 0.0005
	// maxRoutes bounds the routes with learned lengths.
	maxRoutes = 4096
)

const (
	// currentWindow is the window, in responses, of the current share of short responses.
	currentWindow = 64
	// baselineWindow is the window of the baseline share, limitedBaselineWindow that while the
	// limit is active: minutes of rejections must not become the baseline.
	baselineWindow        = 4096
	limitedBaselineWindow = 32768
	// maxInitialBaseline caps the baseline initialized from the first currentWindow responses, so
	// that a daemon that starts during overload detects it.
	maxInitialBaseline = 0.25
	// Short responses count as rejections while their current share exceeds baselineFactor times the
	// baseline plus baselineMargin. The factor absorbs the variance of currentWindow responses, the
	// margin a few failing targets; the margin must be below Config.Rejected, at which the limit is
	// stable.
	baselineFactor = 2
	baselineMargin = 0.05
)

// responseLengths detects a route's rejections among its responses: rejections are short, and there are
// more short responses than in the baseline.
type responseLengths struct {
	// initial holds the response lengths from which the usual length is initialized.
	initial []uint32
	// usualLength is the usual length in bytes, an estimate of a high quantile.
	usualLength float64
	// count is the number of classified responses; currentShare and baselineShare are the current and
	// the baseline share of short ones, as EWMAs.
	count                       int
	currentShare, baselineShare float64
}

func (c *Controller) responseLengthsOf(route uint32) *responseLengths {
	lengths := c.responseLengths[route]
	if lengths == nil {
		if len(c.responseLengths) >= maxRoutes {
			clear(c.responseLengths) // routes in use are learned again
		}
		lengths = &responseLengths{}
		c.responseLengths[route] = lengths
	}
	return lengths
}

// observe handles a response. It returns its contribution to the evidence of overload, negative if
// there are no more short responses than in the baseline, and whether it counts as a rejection.
// window is the window of the baseline share.
func (l *responseLengths) observe(length uint32, window float64) (excess float64, isRejection bool) {
	if l.usualLength == 0 {
		l.collectInitial(length)
		return 0, false
	}
	isShort := float64(length) < l.usualLength*shortRatio
	l.updateUsualLength(float64(length), isShort)
	l.updateShares(isShort, window)
	excess = -baselineFactor * l.baselineShare
	if isShort {
		excess++
	}
	return excess, isShort && l.isOverBaseline()
}

// isOverBaseline reports whether short responses currently count as rejections.
func (l *responseLengths) isOverBaseline() bool {
	return l.count > currentWindow && l.currentShare > baselineFactor*l.baselineShare+baselineMargin
}

// collectInitial collects the first responses and initializes the usual length from them.
func (l *responseLengths) collectInitial(length uint32) {
	l.initial = append(l.initial, length)
	if len(l.initial) < initialResponses {
		return
	}
	slices.Sort(l.initial)
	l.usualLength = max(1, float64(l.initial[initialResponses*3/4]))
	l.initial = nil
}

func (l *responseLengths) updateUsualLength(length float64, isShort bool) {
	switch {
	case length > l.usualLength:
		l.usualLength *= 1 + riseStep
	case isShort:
		l.usualLength /= 1 + relearnStep
	default:
		l.usualLength /= 1 + fallStep
	}
}

func (l *responseLengths) updateShares(isShort bool, window float64) {
	hit := 0.0
	if isShort {
		hit = 1
	}
	l.count++
	l.currentShare += (hit - l.currentShare) / min(float64(l.count), currentWindow)
	if l.count <= currentWindow {
		l.baselineShare = min(l.currentShare, maxInitialBaseline)
		return
	}
	l.baselineShare += (hit - l.baselineShare) / window
}
