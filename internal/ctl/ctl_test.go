package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
)

func readDeclaration(t *testing.T, content string) (*Declaration, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "services.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return ReadDeclaration(path)
}

const validDeclaration = `
services:
  - name: roster
    address: 192.0.2.10:443
    priority: critical
    targets:
      - {name: one, address: 10.0.0.1:443, zone: salt-a}
      - {name: two, address: 10.0.0.2:443, zone: salt-b, weight: 7}
`

func TestDeclarationErrorsNameFileLineAndField(t *testing.T) {
	_, err := readDeclaration(t, "services:\n  - name: roster\n    colour: blue\n")
	assert.ErrorContains(t, err, "services.yaml")
	assert.ErrorContains(t, err, "line 3: field colour not found")
	_, err = readDeclaration(t, "services:\n  - {name: roster, priority: urgent}\n")
	assert.ErrorContains(t, err, `services[0]: priority: "urgent" must be one of critical, standard, bulk`)
}

func planDescriptions(t *testing.T, declaration *Declaration, current *passtrayv1.Configuration) []string {
	t.Helper()
	changes, err := planChanges(declaration, current)
	assert.NilError(t, err)
	var descriptions []string
	for _, change := range changes {
		descriptions = append(descriptions, change.description)
	}
	return descriptions
}

func TestApplyChangesOnlyWhatDiffers(t *testing.T) {
	declaration, err := readDeclaration(t, validDeclaration)
	assert.NilError(t, err)
	assert.DeepEqual(t, planDescriptions(t, declaration, &passtrayv1.Configuration{}),
		[]string{"create service roster", "add target roster/one", "add target roster/two"})
	current := &passtrayv1.Configuration{
		Services: []*passtrayv1.Service{{
			Name: "roster", Address: "192.0.2.10:443", Protocol: passtrayv1.Protocol_PROTOCOL_QUIC,
			Priority: passtrayv1.Priority_PRIORITY_CRITICAL, Limits: &passtrayv1.Limits{ConnectionsPerTarget: 2000},
		}},
		Targets: []*passtrayv1.Target{
			{Service: "roster", Name: "one", Address: "10.0.0.1:443", Zone: "salt-a", Weight: 100},
			{Service: "roster", Name: "two", Address: "10.0.0.2:443", Zone: "salt-b", Weight: 100},
		},
	}
	assert.DeepEqual(t, planDescriptions(t, declaration, current), []string{"set weight of target roster/two"})
	current.Targets[0].Address = "10.0.0.9:443"
	_, err = planChanges(declaration, current)
	assert.ErrorContains(t, err, `target "roster/one": address and zone cannot be changed`)
}

func TestExitCodesAreStable(t *testing.T) {
	for code, err := range map[int]error{
		ExitOK:          nil,
		ExitFailed:      fmt.Errorf("anything"),
		ExitUsage:       usageError("--daemon: give one"),
		ExitRefused:     status.Error(codes.FailedPrecondition, "revision"),
		ExitNotFound:    status.Error(codes.NotFound, "no target"),
		ExitUnavailable: status.Error(codes.Unavailable, "nobody"),
		ExitTimeout:     context.DeadlineExceeded,
	} {
		assert.Equal(t, report(err, &bytes.Buffer{}, &bytes.Buffer{}), code, "%v", err)
	}
}

func TestErrorMessagesKeepContextWithoutGRPCPrefix(t *testing.T) {
	refusal := status.Error(codes.InvalidArgument, "target.weight: 5000 must be 0 to 1000")
	assert.Equal(t, messageOf(refusal), "target.weight: 5000 must be 0 to 1000")
	assert.Equal(t, messageOf(eris.Wrap(refusal, "add target roster/one")), "add target roster/one: target.weight: 5000 must be 0 to 1000")
}

func TestUsageErrors(t *testing.T) {
	for _, test := range []struct {
		arguments []string
		message   string
	}{
		{[]string{"get"}, "--daemon: give the operator address"},
		{[]string{"target", "add", "roster", "one"}, "required flags"},
		{[]string{"keys", "init", "--directory", t.TempDir(), "--address", "daemon-1"}, `--address: "daemon-1" must be an IP address`},
		{[]string{"service", "create", "roster", "--address", "1.2.3.4:5", "--priority", "urgent"}, `--priority: "urgent" must be one of`},
	} {
		var errOut bytes.Buffer
		assert.Equal(t, Run(test.arguments, &bytes.Buffer{}, &errOut), ExitUsage, "%v", test.arguments)
		assert.Assert(t, bytes.Contains(errOut.Bytes(), []byte(test.message)), "%v: %s", test.arguments, errOut.String())
	}
	var out bytes.Buffer
	assert.Equal(t, Run([]string{"--help"}, &out, &out), ExitOK)
	assert.Equal(t, Run([]string{"completion"}, &out, &out), ExitOK)
}
