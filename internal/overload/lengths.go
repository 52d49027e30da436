package overload

import "slices"

const (
	// shortAnswer is the part of a route's usual length below which an answer is short:
	// rejections are, where what a route serves is long.
	shortAnswer = 1.0 / 3
	// learnedAfter is how many answers a route's usual length is begun from, as their upper
	// quartile: what a daemon sees first may for the most part be rejections.
	learnedAfter = 16
	// riseStep is by what part the usual length follows a longer answer, fallStep by what a
	// shorter one. Their ratio makes it the length that one answer in six exceeds (Robbins,
	// Monro, "A Stochastic Approximation Method", 1951), so that five rejections in six
	// answers do not become usual. relearnStep is by what it follows a short one.
	riseStep    = 0.05
	fallStep    = 0.01
	relearnStep = 0.0005
	// mostRoutes bounds the routes that are remembered.
	mostRoutes = 4096
)

// lengths tells a route's rejections from its answers: a rejection is short.
type lengths struct {
	// first are the answers that the usual length is begun from.
	first []uint32
	// usual is the usual length in bytes, a high quantile.
	usual float64
}

func (c *Controller) lengthsOf(route uint32) *lengths {
	held := c.lengths[route]
	if held == nil {
		if len(c.lengths) >= mostRoutes {
			clear(c.lengths) // routes come and go; what still answers is learned again
		}
		held = &lengths{}
		c.lengths[route] = held
	}
	return held
}

// isRejection takes in an answer and reports whether it is short.
func (l *lengths) isRejection(length uint32) bool {
	if l.usual == 0 {
		l.begin(length)
		return false
	}
	isShort := float64(length) < l.usual*shortAnswer
	l.follow(float64(length), isShort)
	return isShort
}

// begin gathers the answers that the usual length is begun from.
func (l *lengths) begin(length uint32) {
	l.first = append(l.first, length)
	if len(l.first) < learnedAfter {
		return
	}
	slices.Sort(l.first)
	l.usual = max(1, float64(l.first[learnedAfter*3/4]))
	l.first = nil
}

// follow moves the usual length.
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
