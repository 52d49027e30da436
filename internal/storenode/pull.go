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
	if value := query.Get(configurationRevisionQuery); value != "" {
		if pull.Held.Revision, err = strconv.ParseUint(value, 10, 64); err != nil {
			return nil, eris.Errorf("%s: %q is not a revision", configurationRevisionQuery, value)
		}
	}
	if value := query.Get(configurationVersionQuery); value != "" {
		if pull.Held.Version, err = strconv.ParseUint(value, 10, 64); err != nil {
			return nil, eris.Errorf("%s: %q is not a version", configurationVersionQuery, value)
		}
	}
	if value := query.Get(memberQuery); value != "" {
		encoded, err := base64.RawURLEncoding.DecodeString(value)
		if err == nil {
			err = cbor.Unmarshal(encoded, &pull.Requester)
		}
		if err != nil {
			return nil, eris.Wrapf(err, "%s: %q is not a member", memberQuery, value)
		}
	}
	if value := query.Get(holdQuery); value != "" {
		milliseconds, err := strconv.ParseUint(value, 10, 16)
		if err != nil {
			return nil, eris.Errorf("%s: %q is not a number of milliseconds", holdQuery, value)
		}
		pull.Hold = min(time.Duration(milliseconds)*time.Millisecond, maxHold)
	}
	if value := query.Get(redirectsQuery); value != "" {
		redirects, err := strconv.ParseUint(value, 10, 16)
		if err != nil {
			return nil, eris.Errorf("%s: %q is not a number", redirectsQuery, value)
		}
		pull.Redirects = int(redirects)
	}
	fingerprints, err := io.ReadAll(io.LimitReader(request.Body, maxFingerprintBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read fingerprints")
	}
	if len(fingerprints) > 0 {
		pull.Fingerprints = fingerprints
	}
	return pull, nil
}

func pullURL(pull *followed.Pull) (string, error) {
	requester, err := cbor.Marshal(pull.Requester)
	if err != nil {
		return "", eris.Wrap(err, memberQuery)
	}
	query := url.Values{
		sinceQuery:  {strconv.FormatUint(pull.Since, 10)},
		memberQuery: {base64.RawURLEncoding.EncodeToString(requester)},
	}
	if pull.Held.Revision > 0 {
		query.Set(configurationRevisionQuery, strconv.FormatUint(pull.Held.Revision, 10))
		query.Set(configurationVersionQuery, strconv.FormatUint(pull.Held.Version, 10))
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
	requestCtx, cancelRequest := context.WithCancel(ctx)
	defer cancelRequest()
	otherStarted := context.Background()
	if pull.Hold > 0 {
		otherStarted = l.transfers.untilStarted()
	}
	stopWaiting := context.AfterFunc(otherStarted, cancelRequest)
	requestURL, err := pullURL(pull)
	if err != nil {
		return nil
	}
	request, err := http.NewRequestWithContext(requestCtx, http.MethodPost, requestURL, bytes.NewReader(pull.Fingerprints))
	if err != nil {
		return nil
	}
	firstByteTimer := time.AfterFunc(pull.FirstByteTimeout, cancel)
	response, err := client.Do(request)
	firstByteTimer.Stop()
	stopWaiting()
	if err != nil {
		if otherStarted.Err() != nil {
			l.transfers.waitIdle(ctx)
		}
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil
	}
	if pull.Hold > 0 && !isShortAnswer(response) {
		if !l.transfers.acquire(ctx) {
			return nil
		}
		defer l.transfers.release()
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, io.LimitReader(response.Body, maxDeltaBytes)); err != nil {
		return nil
	}
	delta, err := decodeDelta(body.Bytes())
	if err != nil {
		return nil
	}
	l.traffic.received[trafficOf(delta)].Add(uint64(body.Len()))
	return delta
}

// maxShortAnswerBytes is the maximum size in bytes of a short answer, such as a redirect.
const maxShortAnswerBytes = 4 << 10

func isShortAnswer(response *http.Response) bool {
	return response.ContentLength >= 0 && response.ContentLength <= maxShortAnswerBytes
}
