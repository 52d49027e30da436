package storenode

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/followed"
)

// readPull parses the pull request of a peer.
func readPull(request *http.Request) (*followed.Pull, error) {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get(sinceQuery), 10, 64)
	if err != nil {
		return nil, eris.Errorf("%s: %q is not a revision", sinceQuery, query.Get(sinceQuery))
	}
	pull := &followed.Pull{Since: since}
	if given := query.Get(configurationQuery); given != "" {
		if pull.Held.Revision, err = strconv.ParseUint(given, 10, 64); err != nil {
			return nil, eris.Errorf("%s: %q is not a revision", configurationQuery, given)
		}
	}
	if given := query.Get(versionQuery); given != "" {
		if pull.Held.Version, err = strconv.ParseUint(given, 10, 64); err != nil {
			return nil, eris.Errorf("%s: %q is not a version", versionQuery, given)
		}
	}
	if given := query.Get(memberQuery); given != "" {
		encoded, err := base64.RawURLEncoding.DecodeString(given)
		if err == nil {
			err = cbor.Unmarshal(encoded, &pull.Asker)
		}
		if err != nil {
			return nil, eris.Wrapf(err, "%s: %q is not a member", memberQuery, given)
		}
	}
	if given := query.Get(holdQuery); given != "" {
		milliseconds, err := strconv.ParseUint(given, 10, 16)
		if err != nil {
			return nil, eris.Errorf("%s: %q is not a number of milliseconds", holdQuery, given)
		}
		pull.Hold = min(time.Duration(milliseconds)*time.Millisecond, maximumHold)
	}
	if given := query.Get(redirectsQuery); given != "" {
		redirects, err := strconv.ParseUint(given, 10, 16)
		if err != nil {
			return nil, eris.Errorf("%s: %q is not a number", redirectsQuery, given)
		}
		pull.Redirects = int(redirects)
	}
	fingerprints, err := io.ReadAll(io.LimitReader(request.Body, maximumFingerprints))
	if err != nil {
		return nil, eris.Wrap(err, "read fingerprints")
	}
	if len(fingerprints) > 0 {
		pull.Fingerprints = fingerprints
	}
	return pull, nil
}

func pullTarget(pull *followed.Pull) (string, error) {
	asker, err := cbor.Marshal(pull.Asker)
	if err != nil {
		return "", eris.Wrap(err, memberQuery)
	}
	query := url.Values{
		sinceQuery:  {strconv.FormatUint(pull.Since, 10)},
		memberQuery: {base64.RawURLEncoding.EncodeToString(asker)},
	}
	if pull.Held.Revision > 0 {
		query.Set(configurationQuery, strconv.FormatUint(pull.Held.Revision, 10))
		query.Set(versionQuery, strconv.FormatUint(pull.Held.Version, 10))
	}
	if pull.Redirects > 0 {
		query.Set(redirectsQuery, strconv.Itoa(pull.Redirects))
	}
	if pull.Hold > 0 {
		query.Set(holdQuery, strconv.FormatInt(pull.Hold.Milliseconds(), 10))
	}
	return "http://" + pull.From.String() + deltaPath + "?" + query.Encode(), nil
}

// pull requests a delta from a peer. It returns nil on any failure. With a hold, that is while this
// daemon has no configuration, it cancels a request that is still waiting once another long answer
// begins to arrive, and returns when that has ended.
func (l *peerLink) pull(ctx context.Context, pull *followed.Pull) *followed.Delta {
	ctx, cancel := context.WithTimeout(ctx, pull.Timeout)
	defer cancel()
	client := l.client
	if pull.Hold > 0 {
		client = l.startClient
		defer context.AfterFunc(l.configured, cancel)()
	}
	asking, takeBack := context.WithCancel(ctx)
	defer takeBack()
	begun := context.Background()
	if pull.Hold > 0 {
		begun = l.transfers.untilBegun()
	}
	isWaiting := context.AfterFunc(begun, takeBack)
	target, err := pullTarget(pull)
	if err != nil {
		return nil
	}
	request, err := http.NewRequestWithContext(asking, http.MethodPost, target, bytes.NewReader(pull.Fingerprints))
	if err != nil {
		return nil
	}
	isSilent := time.AfterFunc(pull.FirstByte, cancel)
	response, err := client.Do(request)
	isSilent.Stop()
	isWaiting()
	if err != nil {
		if begun.Err() != nil {
			l.transfers.wait(ctx)
		}
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil
	}
	if pull.Hold > 0 && !isShort(response) {
		if !l.transfers.start(ctx) {
			return nil
		}
		defer l.transfers.end()
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, io.LimitReader(response.Body, maximumDelta)); err != nil {
		return nil
	}
	delta, err := decodeDelta(body.Bytes())
	if err != nil {
		return nil
	}
	l.traffic.received[trafficOf(delta)].Add(uint64(body.Len()))
	return delta
}

// shortAnswer is the maximum size in bytes of a short answer, such as a redirect.
const shortAnswer = 4 << 10

func isShort(response *http.Response) bool {
	return response.ContentLength >= 0 && response.ContentLength <= shortAnswer
}
