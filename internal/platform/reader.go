// Package platform reads the surroundings' service: a list of machines that
// lags behind reality, and a configuration document that may be stale or not to
// be had. Nothing can be written there.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/catalog"
)

// MachineList is the platform's word on which machines exist.
type MachineList struct {
	Machines []Machine `json:"machines"`
}

// Machine is one machine that runs, ran or will run a daemon.
type Machine struct {
	// Control is the daemon's control address.
	Control netip.AddrPort `json:"control"`
	// Leaving says that the platform is about to take the machine away.
	Leaving bool `json:"leaving"`
}

const (
	requestTimeout = 2 * time.Second
	maximumBody    = 8 << 20
)

// Reader reads the platform now and then.
type Reader struct {
	base   string
	client *http.Client
}

// NewReader makes a reader for a base URL.
func NewReader(base string) *Reader {
	return &Reader{base: base, client: &http.Client{Timeout: requestTimeout}}
}

// Machines reads the machine list.
func (r *Reader) Machines(ctx context.Context) (MachineList, error) {
	var list MachineList
	err := r.read(ctx, "/machines", &list)
	return list, err
}

// Configuration reads the configuration document.
func (r *Reader) Configuration(ctx context.Context) (catalog.Document, error) {
	var document catalog.Document
	err := r.read(ctx, "/configuration", &document)
	return document, err
}

func (r *Reader) read(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+path, nil)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "platform")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("platform %s: answered %s", path, response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maximumBody)).Decode(into)
	return eris.Wrapf(err, "platform %s", path)
}
