package zlload

import (
	"context"
	"sync"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/io/process/zlplatform"

	"github.com/rotisserie/eris"
)

// Catalogs follows the platform's catalogues from outside the tier. It keeps
// the index versions that were removed, since late answers may be of them.
// Client must be set before use.
type Catalogs struct {
	Client *zlplatform.Client

	mu       sync.Mutex
	services map[zlunit.Service]*zlcatalog.Catalog
	shards   map[versionKey]int
}

type versionKey struct {
	service zlunit.Service
	version zlunit.IndexVersion
}

// Read reads all catalogues; none at all is an error.
func (c *Catalogs) Read(ctx context.Context) error {
	listing, err := c.Client.Watch(ctx, []zlplatform.ObjectKind{zlplatform.ObjectCatalog}, 0, 0)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services == nil {
		c.services = map[zlunit.Service]*zlcatalog.Catalog{}
		c.shards = map[versionKey]int{}
	}
	for _, o := range listing.Objects {
		next, err := zlcatalog.Decode(o.Value)
		if err != nil {
			return err
		}
		c.add(next)
	}
	if len(c.services) == 0 {
		return eris.New("the platform holds no catalogue")
	}
	return nil
}

// add takes a catalogue; mu is held.
func (c *Catalogs) add(next *zlcatalog.Catalog) {
	c.services[next.Service] = next
	for _, v := range next.Versions {
		c.shards[versionKey{
			service: next.Service,
			version: v.Number,
		}] = len(v.Shards)
	}
}

// Services returns the catalogues as of the last Read.
func (c *Catalogs) Services() []*zlcatalog.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*zlcatalog.Catalog, 0, len(c.services))
	for _, s := range c.services {
		out = append(out, s)
	}
	return out
}

// Shards returns how many shards a version has, reading the catalogues again
// for one that is not known yet; 0 tells that there is none.
func (c *Catalogs) Shards(service zlunit.Service, version zlunit.IndexVersion) int {
	if n := c.known(service, version); n > 0 {
		return n
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Client.Timeout)
	defer cancel()
	if err := c.Read(ctx); err != nil {
		return 0
	}
	return c.known(service, version)
}

// Known reports whether the catalogues have, or had, a version.
func (c *Catalogs) Known(service zlunit.Service, version zlunit.IndexVersion) bool {
	return c.known(service, version) > 0
}

func (c *Catalogs) known(service zlunit.Service, version zlunit.IndexVersion) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shards[versionKey{
		service: service,
		version: version,
	}]
}
