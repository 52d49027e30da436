// Package e2e runs daemons as processes of their own under kills, freezes,
// planned stops and rolling replacement, and judges the histories. Its tests
// take minutes of real time, so they are asked for by a build tag:
//
//	go test -tags e2e ./e2e -v
package e2e
