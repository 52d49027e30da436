// Package e2e runs daemons as separate processes, kills, pauses, stops and replaces them under traffic,
// and checks the recorded histories for violated invariants. Its tests take minutes of real time and
// need a build tag:
//
//	go test -tags e2e ./e2e -v
package e2e
