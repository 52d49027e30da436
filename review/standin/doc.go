//go:build review

// Command standin plays one case of the review with daemons as processes on loopback addresses. It
// contains the stand-ins: a store whose target entries expire, targets, callers and routers.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main
