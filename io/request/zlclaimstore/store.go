// Package zlclaimstore connects claims to the world: the log's objects on the
// platform, and the daemons that write its segments.
package zlclaimstore

import (
	"context"
	"encoding/json"
	"fmt"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/io/process/zlplatform"
)

// KindOf returns the object kind that holds a segment.
func KindOf(s zlclaim.Segment) zlplatform.ObjectKind {
	return zlplatform.ObjectKind(fmt.Sprintf("%s-%02d", zlplatform.ObjectClaim, s))
}

// Store keeps segments on the platform, each in an object kind of its own.
type Store struct {
	Client *zlplatform.Client
}

var _ zlclaim.Store = (*Store)(nil)

// Changes implements zlclaim.Store.
func (s *Store) Changes(ctx context.Context, segment zlclaim.Segment, after zlunit.ObjectVersion) ([]zlclaim.Object, zlunit.ObjectVersion, error) {
	listing, err := s.Client.Watch(ctx, []zlplatform.ObjectKind{KindOf(segment)}, after, 0)
	if err != nil {
		return nil, 0, failed("changes", err)
	}
	out := make([]zlclaim.Object, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		out = append(out, zlclaim.Object{
			Name:    o.Name,
			Version: o.Version,
			Value:   o.Value,
			Deleted: o.Deleted,
		})
	}
	return out, listing.Revision, nil
}

// Put implements zlclaim.Store.
func (s *Store) Put(ctx context.Context, segment zlclaim.Segment, name string, ifVersion zlunit.ObjectVersion, value []byte) (zlunit.ObjectVersion, error) {
	version, err := s.Client.Put(ctx, KindOf(segment), name, ifVersion, json.RawMessage(value))
	if err != nil {
		return 0, failed("put", err)
	}
	return version, nil
}

// Delete implements zlclaim.Store.
func (s *Store) Delete(ctx context.Context, segment zlclaim.Segment, name string, ifVersion zlunit.ObjectVersion) error {
	if err := s.Client.Delete(ctx, KindOf(segment), name, ifVersion); err != nil {
		return failed("delete", err)
	}
	return nil
}

// failed classifies a platform error. All but a conflict leave open whether
// the call took effect.
func failed(op string, err error) error {
	kind := zlclaim.KindStore
	if zlplatform.Is(err, zlplatform.KindConflict) {
		kind = zlclaim.KindConflict
	}
	return &zlclaim.Error{
		Op:   op,
		Kind: kind,
		Err:  err,
	}
}
