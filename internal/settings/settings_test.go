package settings

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const goodFile = `
region: kol-east
zone: salt-a
control: 127.0.0.1:7000
operator: 127.0.0.1:7001
telemetry: 127.0.0.1:7002
data:
  backend: 127.0.0.1:7003
  fabric: 127.0.0.1:7004
  fabric_egress: 127.0.0.1:9000
peers: [127.0.0.1:7000, 127.0.0.1:7010]
tls: {authority: a.pem, certificate: c.pem, key: k.pem}
keyring: keyring.yaml
fleet_key: fleet.yaml
lease: 20s
`

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestLoadReadsFileAndOverrides(t *testing.T) {
	loaded, err := Load(write(t, goodFile), map[string]any{"zone": "salt-b", "log.level": "debug"})
	assert.NilError(t, err)
	assert.Equal(t, loaded.Zone, "salt-b")
	assert.Equal(t, loaded.Log.Level, "debug")
	assert.Equal(t, loaded.Lease.String(), "20s")
	assert.Equal(t, loaded.Voters, 3)
	assert.Equal(t, len(loaded.Peers), 2)
}

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	_, err := Load(write(t, `
zone: salt-a
control: 127.0.0.1:7000
operator: 127.0.0.1:7000
telemetry: 0.0.0.0:7002
data: {backend: 127.0.0.1:7003, fabric: 127.0.0.1:7004, workers: 99}
platform: {url: "http://config.example:80"}
tls: {authority: a.pem, key: k.pem}
keyring: k
fleet_key: f
voters: 4
log: {level: loud}
colour: blue
`), nil)
	for _, fault := range []string{
		"region: must be given",
		"operator: 127.0.0.1:7000 is already control",
		`telemetry: "0.0.0.0:7002"`,
		"data.workers: \"99\" must be at most 64",
		"data.fabric_egress: must be given where data.fabric is",
		`platform.url: "http://config.example:80" must be an http or https URL whose host is an IP address`,
		"tls.certificate: must be given",
		`voters: "4" must be one of: 1, 3, 5`,
		`log.level: "loud" must be one of`,
		"colour: no such field",
	} {
		assert.ErrorContains(t, err, fault)
	}
}

func TestANameInPlaceOfAnAddressIsRefused(t *testing.T) {
	_, err := Load(write(t, goodFile), map[string]any{"control": "daemon-1.example:7000"})
	assert.ErrorContains(t, err, "control")
	assert.ErrorContains(t, err, "daemon-1.example")
}
