package cmd

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/io/process/zlload"
	"zinnialock/io/process/zlplatform"
)

func runLoad(e *env, args []string) int {
	fs := newFlags(e, "load", "Send queries at a rate and check each answer; latency counts from the intended send time.")
	targets := fs.String("targets", "127.0.0.1:7100", "caller addresses of daemons, `IP:PORT[,IP:PORT]`")
	platform := fs.String("platform", "127.0.0.1:7000", "the platform, to read the catalogue from")
	rate := fs.Float64("rate", 50, "queries a second")
	duration := fs.Duration("time", 10*time.Second, "length of the load")
	deadline := fs.Duration("deadline", 2*time.Second, "time allowed for each query")
	seed := fs.Uint64("seed", 1, "seed")
	kind := fs.String("kind", "lookup", "query kind")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := errors.Join(checkFormat(*format), checkAddress("platform", *platform)); err != nil {
		return e.fail(exitUsage, err)
	}
	catalogs, err := readCatalogs(*platform)
	if err != nil {
		return e.fail(exitFailed, err)
	}
	load := &zlload.Load{
		Targets:  strings.Split(*targets, ","),
		Rate:     *rate,
		Duration: *duration,
		Seed:     *seed,
		Checker: &zlload.Checker{
			Shards: catalogs.shards,
		},
	}
	for service := range catalogs {
		load.Mix = append(load.Mix, zlload.Shape{
			Service:    service,
			Kind:       zlunit.QueryKind(*kind),
			Idempotent: true,
			Weight:     1,
			Deadline:   *deadline,
		})
	}
	summary, _ := load.Run(context.Background())
	if *format == "json" {
		e.json(summary)
	} else {
		showSummary(e, &summary)
	}
	if len(summary.Violations) > 0 {
		return exitFailed
	}
	return exitDone
}

type catalogMap map[zlunit.Service]*zlcatalog.Catalog

func (m catalogMap) shards(service zlunit.Service, version zlunit.IndexVersion) int {
	if c, ok := m[service]; ok {
		for _, v := range c.Versions {
			if v.Number == version {
				return len(v.Shards)
			}
		}
	}
	return 0
}

func readCatalogs(address string) (catalogMap, error) {
	client := &zlplatform.Client{
		Address: address,
		HTTP:    http.DefaultClient,
		Timeout: 5 * time.Second,
	}
	l, err := client.Watch(context.Background(), []zlplatform.ObjectKind{zlplatform.ObjectCatalog}, 0, 0)
	if err != nil {
		return nil, err
	}
	out := catalogMap{}
	for _, o := range l.Objects {
		c, err := zlcatalog.Decode(o.Value)
		if err != nil {
			return nil, err
		}
		out[c.Service] = c
	}
	if len(out) == 0 {
		return nil, errors.New("load: the platform holds no catalogue")
	}
	return out, nil
}
