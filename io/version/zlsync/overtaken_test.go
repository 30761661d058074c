package zlsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlobject"
	"zinnialock/io/process/zlplatform"
)

// overtakenPlatform calls overtake once a listing has taken effect and before it arrives.
type overtakenPlatform struct {
	*fakePlatform
	overtake func()
}

// Watch implements Platform.
func (p *overtakenPlatform) Watch(ctx context.Context, kinds []zlplatform.ObjectKind, after zlunit.ObjectVersion, wait time.Duration) (*zlplatform.Listing, error) {
	l, err := p.fakePlatform.Watch(ctx, kinds, after, wait)
	p.overtake()
	return l, err
}

// Guards against the fault of review/1 in zinnialock serve: a listing that the items of
// another daemon overtook must not undo them. It never failed: each object has a rank.
func TestOvertakenListingDoesNotUndoNewerItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &overtakenPlatform{
			fakePlatform: newFakePlatform(),
		}
		mustPut(p.fakePlatform, Marks.Kind, Marks.Name, &zlmark.Marks{})
		w := newWatcher(p)
		p.overtake = func() {
			p.overtake = func() {}
			mustPut(p.fakePlatform, Marks.Kind, Marks.Name, &zlmark.Marks{
				DataCentres: map[zlunit.DataCentre]zlmark.Mark{
					"nashua": {},
				},
			})
			o, err := p.Get(context.Background(), Marks.Kind, Marks.Name)
			if err != nil {
				t.Fatal(err)
			}
			w.ApplyItems([]zlobject.Item{itemOf(*o)})
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(ended)
		}()
		for range 20 {
			time.Sleep(time.Second)
			if v := w.Views.Load(); !v.Marks.VMOut("vm", "nashua") {
				t.Error("the data centre is in service, want the mark of the other daemon in force")
				break
			}
		}
		cancel()
		<-ended
	})
}
