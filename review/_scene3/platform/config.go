package main

import (
	"fmt"
	"time"
)

const (
	host       = "guild.example"
	tracePath  = "/trace/2f"
	lookupPath = "/lookup/2f"
	orderPath  = "/order/2f"
)

// config is a configuration of the operator.
type config struct {
	version int
	shards  []string
	lookup  string
	// orders is the service of the requests that may run once.
	orders     string
	warmupPerS float64
	warmupS    float64
	services   []string
	tenants    []map[string]any
}

// write writes the configuration and returns when the store acknowledged it.
func (w *world) write(c config) time.Time {
	routes := []map[string]any{}
	if len(c.shards) > 0 {
		routes = append(routes, map[string]any{
			"name": "r-trace", "hostname": host, "path_prefix": "/trace/", "type": "idempotent",
			"timeout_ms": 2000, "target_latency_ms": 120, "priority": 1, "gather": c.shards,
			"max_attempts": 2, "top_k": 50, "min_success_ratio": 0.75,
		})
	}
	if c.lookup != "" {
		routes = append(routes, map[string]any{
			"name": "r-lookup", "hostname": host, "path_prefix": "/lookup/", "type": "idempotent",
			"timeout_ms": 8000, "target_latency_ms": 500, "priority": 2, "service": c.lookup,
			"max_attempts": 2,
		})
	}
	if c.orders != "" {
		routes = append(routes, map[string]any{
			"name": "r-order", "hostname": host, "path_prefix": "/order/", "type": "non_idempotent",
			"timeout_ms": 8000, "target_latency_ms": 500, "priority": 2, "service": c.orders,
			"max_attempts": 2,
		})
	}
	services := []map[string]any{}
	for _, s := range c.services {
		services = append(services, map[string]any{
			"name": s, "health_check_path": "/health", "max_connections": 100, "protocol": "h1",
			"tls": false, "warmup_s": c.warmupS, "warmup_per_s": c.warmupPerS,
		})
	}
	spec := map[string]any{
		"version":  c.version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
	if c.tenants != nil {
		spec["tenants"] = c.tenants
	}
	at := w.store.put("config", "main", spec)
	w.noteAt(at, "the store acknowledged version %d of the configuration: shards %v, lookup %s", c.version, c.shards, c.lookup)
	return at
}

// addShards starts a service for each shard, with a replica in each zone.
func (w *world) addShards(prefix string, n int) (services []string, replicas []*replica, err error) {
	const slots, work = 3, 15 * time.Millisecond
	for i := range n {
		service := fmt.Sprintf("%s~%d", prefix, i+1)
		services = append(services, service)
		for _, zone := range zones {
			r, err := w.addReplica(fmt.Sprintf("i-%s%d-%s", prefix, i+1, zone), service, zone, slots, work)
			if err != nil {
				return nil, nil, err
			}
			replicas = append(replicas, r)
		}
	}
	return services, replicas, nil
}

// addOrderDesk starts a service for requests that may run once, with a replica in each zone,
// that crash at more than so many requests in a second while they are cold.
func (w *world) addOrderDesk(service string, maxCold int) ([]*replica, error) {
	const slots, work = 20, 100 * time.Millisecond
	var replicas []*replica
	for _, zone := range zones {
		r, err := w.addReplica("i-order-"+zone, service, zone, slots, work)
		if err != nil {
			return nil, err
		}
		r.maxCold = maxCold
		replicas = append(replicas, r)
	}
	return replicas, nil
}
