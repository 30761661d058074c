package zlload

import (
	"context"
	"sync"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/io/process/zlplatform"

	"github.com/rotisserie/eris"
)

// CatalogCache keeps copies of the platform's catalogues, read independently of the
// daemons. It remembers index versions that were removed, since late answers may
// still refer to them. It is safe for concurrent use.
type CatalogCache struct {
	// Client must be set before the first call.
	Client *zlplatform.Client

	mu       sync.Mutex
	services map[zlunit.Service]*zlcatalog.Catalog
	// shards holds the number of shards of every version seen so far.
	shards map[versionKey]int
}

type versionKey struct {
	service zlunit.Service
	version zlunit.IndexVersion
}

// Read reads all catalogues. It fails if the platform holds none.
func (c *CatalogCache) Read(ctx context.Context) error {
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
		return eris.New("read catalogues: the platform holds none")
	}
	return nil
}

// add stores a catalogue; mu must be held.
func (c *CatalogCache) add(next *zlcatalog.Catalog) {
	c.services[next.Service] = next
	for _, v := range next.Versions {
		c.shards[versionKey{
			service: next.Service,
			version: v.Number,
		}] = len(v.Shards)
	}
}

// Services returns the catalogue of each service as of the last Read.
func (c *CatalogCache) Services() []*zlcatalog.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*zlcatalog.Catalog, 0, len(c.services))
	for _, s := range c.services {
		out = append(out, s)
	}
	return out
}

// Shards returns how many shards a version has. For an unknown version it reads
// the catalogues again; 0 means that the version does not exist or that the
// catalogues cannot be read.
func (c *CatalogCache) Shards(service zlunit.Service, version zlunit.IndexVersion) int {
	if n := c.shardCount(service, version); n > 0 {
		return n
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Client.Timeout)
	defer cancel()
	if err := c.Read(ctx); err != nil {
		return 0
	}
	return c.shardCount(service, version)
}

// Known reports whether the catalogues contain, or once contained, a version.
func (c *CatalogCache) Known(service zlunit.Service, version zlunit.IndexVersion) bool {
	return c.shardCount(service, version) > 0
}

func (c *CatalogCache) shardCount(service zlunit.Service, version zlunit.IndexVersion) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shards[versionKey{
		service: service,
		version: version,
	}]
}
