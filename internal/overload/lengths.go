package overload

const (
	// shortAnswer is the part of a route's usual length below which an answer is taken for
	// a rejection.
	shortAnswer = 1.0 / 3
	// learnedAfter is how many answers a route's usual length is learned from.
	learnedAfter = 16
	// lengthStep is by what part the usual length follows an answer, relearnStep by what a
	// short one: under overload most answers are rejections, and must not become usual
	// within minutes.
	lengthStep  = 0.05
	relearnStep = 0.0005
	// mostRoutes bounds the routes that are remembered.
	mostRoutes = 4096
)

// lengths tells a route's rejections from its answers: a rejection is short.
type lengths struct {
	count int
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
	l.count++
	if l.count == 1 {
		l.usual = float64(length)
		return false
	}
	isShort := l.count > learnedAfter && float64(length) < l.usual*shortAnswer
	step := lengthStep
	if isShort {
		step = relearnStep
	}
	if float64(length) > l.usual {
		l.usual *= 1 + step
	} else {
		l.usual /= 1 + step
	}
	return isShort
}
