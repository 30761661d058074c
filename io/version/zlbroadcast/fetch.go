package zlbroadcast

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
	"zinnialock/core/version/zlwatcher"

	"github.com/rotisserie/eris"
)

// runFetches fetches the revisions that heartbeats announce and datagrams did
// not bring, until Done is closed.
func (b *Broadcaster) runFetches() {
	for {
		select {
		case <-b.Done:
			return
		case from := <-b.fetchSources:
			if err := b.fetch(from); err != nil && !b.closed() {
				b.recordFailure(err)
			}
			b.Timer.Sleep(b.Done, minFetchPause)
		}
	}
}

// fetch fetches all topics from the VM at an address.
func (b *Broadcaster) fetch(peerAddress string) error {
	have := b.Watcher.Revisions()
	for t := range zlwatcher.Topic(zlwatcher.NumTopics) {
		if !b.Watcher.Follows(t) {
			continue
		}
		if err := b.fetchTopic(peerAddress, t, have[t]); err != nil {
			return &Error{
				Op:   peerAddress,
				Kind: KindFetch,
				Err:  err,
			}
		}
	}
	return nil
}

// withoutURL returns the cause of a failed request. The URL of a fetch has hashes over the keys
// of callers, which belong in no log line.
func withoutURL(err error) error {
	var e *url.Error
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}

// fetchTopic fetches the delta of topic t since revision have from a peer and applies
// it. It does nothing if the peer has no delta.
func (b *Broadcaster) fetchTopic(peerAddress string, t zlwatcher.Topic, have zlrevision.Revision) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	query := url.Values{
		"have": []string{strconv.FormatUint(uint64(have.Number), 10)},
		"era":  []string{strconv.FormatUint(uint64(have.Era), 10)},
	}
	var base *zltable.Table
	if t == zlwatcher.TopicTable {
		base = b.Watcher.HeldTable()
		if hashes := bucketQuery(base); hashes != "" {
			query.Set("buckets", hashes)
		}
	}
	target := "http://" + peerAddress + fetchPath + strconv.Itoa(int(t)) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return withoutURL(err)
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchBytes))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode == http.StatusBadRequest && t >= zlwatcher.NumCommonTopics:
		// A build without the topic.
		return nil
	case resp.StatusCode != http.StatusOK:
		return eris.Errorf("unexpected status %d", resp.StatusCode)
	}
	var d delta
	if err := decoder.Unmarshal(data, &d); err != nil {
		return err
	}
	if d.Table != nil {
		if err := d.Table.complete(base); err != nil {
			return err
		}
	}
	b.Watcher.ApplyPeerDelta(t, fromWire(&d))
	return nil
}

// replyTo returns the reply to a fetch of topic t, or nil if there is nothing later than have.
func (b *Broadcaster) replyTo(r *http.Request, t zlwatcher.Topic, have zlrevision.Revision) (*encodedReply, error) {
	buckets := ""
	if t == zlwatcher.TopicTable {
		buckets = r.URL.Query().Get("buckets")
	}
	since := func() *zlwatcher.Delta {
		return b.Watcher.DeltaSince(t, have)
	}
	zip := strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")
	return b.replies[t].get(b.Replies, since, buckets, zip)
}

// parseRevision reads the revision that a fetch names. A build that knows no eras sends
// none.
func parseRevision(query url.Values) (zlrevision.Revision, error) {
	number, err := strconv.ParseUint(query.Get("have"), 10, 64)
	if err != nil {
		return zlrevision.Revision{}, err
	}
	era := uint64(0)
	if text := query.Get("era"); text != "" {
		if era, err = strconv.ParseUint(text, 10, 64); err != nil {
			return zlrevision.Revision{}, err
		}
	}
	return zlrevision.Revision{
		Era:    zlrevision.Era(era),
		Number: zlrevision.Number(number),
	}, nil
}

// serveFetch answers a fetch with the delta since the revision that the other
// VM has, with 204 No Content if there is none, or with 503 if there is no room for another
// reply.
func (b *Broadcaster) serveFetch(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) <= len(fetchPath) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t, err := strconv.Atoi(r.URL.Path[len(fetchPath):])
	have, haveErr := parseRevision(r.URL.Query())
	if err != nil || haveErr != nil || t < 0 || t >= zlwatcher.NumTopics {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := zlwatcher.Topic(t)
	reply, err := b.replyTo(r, topic, have)
	switch {
	case errors.Is(err, errNoRoom):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		b.recordFailure(err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case reply == nil:
		w.WriteHeader(http.StatusNoContent)
		return
	}
	defer b.replies[topic].release(reply)
	if reply.zipped {
		w.Header().Set("Content-Encoding", "gzip")
	}
	if _, err := w.Write(reply.data); err != nil && !b.closed() {
		b.recordFailure(err)
	}
}
