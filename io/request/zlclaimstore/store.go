// Package zlclaimstore does the input and output of zlclaim. Store keeps the
// segments of the claim log as objects on the platform. Router sends claims,
// outcomes and requests for answers to the daemon concerned and serves those of
// other daemons. The rules of claims are zlclaim's.
package zlclaimstore

import (
	"context"
	"encoding/json"
	"fmt"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/io/process/zlplatform"
)

// KindOf returns the object kind of the objects of segment s.
func KindOf(s zlclaim.Segment) zlplatform.ObjectKind {
	return zlplatform.ObjectKind(fmt.Sprintf("%s-%02d", zlplatform.ObjectClaim, s))
}

// Store stores the segments of the claim log on the platform, each under an object
// kind of its own. It may be used concurrently.
type Store struct {
	// Client accesses the platform.
	Client *zlplatform.Client
}

var _ zlclaim.Store = (*Store)(nil)

// Changes implements zlclaim.Store.
func (s *Store) Changes(ctx context.Context, segment zlclaim.Segment, after zlunit.ObjectVersion) ([]zlclaim.Object, zlunit.ObjectVersion, error) {
	listing, err := s.Client.Watch(ctx, []zlplatform.ObjectKind{KindOf(segment)}, after, 0)
	if err != nil {
		return nil, 0, storeError("changes", err)
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
		return 0, storeError("put", err)
	}
	return version, nil
}

// Delete implements zlclaim.Store.
func (s *Store) Delete(ctx context.Context, segment zlclaim.Segment, name string, ifVersion zlunit.ObjectVersion) error {
	if err := s.Client.Delete(ctx, KindOf(segment), name, ifVersion); err != nil {
		return storeError("delete", err)
	}
	return nil
}

// storeError returns a platform error as a zlclaim.Error. Unless the kind is
// KindConflict, the write may have taken effect.
func storeError(op string, err error) error {
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
