// Package zltestbed runs a whole deployment on loopback sockets for tests, demos and
// experiments: a simulated platform, simulated upstreams, and daemons inside the
// process or as child processes. A plan describes the deployment. It is not for
// production.
package zltestbed

import (
	"fmt"

	"zinnialock/core/process/zlunit"
)

// ServicePlan describes the upstreams of one service.
type ServicePlan struct {
	// Name is the name of the service.
	Name zlunit.Service
	// Shards is the number of shards of the index.
	Shards int
	// Replicas is the number of upstreams that hold each shard.
	Replicas int
	// Slots is the number of queries that an upstream runs at the same time.
	Slots zlunit.Slots
	// Connections is the connection limit of an upstream.
	Connections zlunit.Connections
	// ConnectMs is the cost of a new connection, in milliseconds.
	ConnectMs float64
	// ServiceMs is the mean service time of a query, in milliseconds.
	ServiceMs float64
	// ColdLimit is the number of requests that may be in flight at a cold
	// upstream.
	ColdLimit zlunit.Slots
	// ColdWork is the number of requests after which an upstream is warm.
	ColdWork int
}

// Plan describes one user's deployment.
type Plan struct {
	// Deployment is the name of the deployment.
	Deployment zlunit.Deployment
	// DataCentres lists the data centres.
	DataCentres []zlunit.DataCentre
	// Daemons is the number of VMs with a daemon in each data centre.
	Daemons int
	// Services lists the services and their upstreams.
	Services []ServicePlan
}

// Values that all plans share.
const (
	coldLimit = 1
	coldWork  = 20
	serviceMs = 2.0
	// The upstreams of sharded services take longer to set up a connection.
	shardedConnectMs   = 6.0
	unshardedConnectMs = 1.0
)

// shardedService returns the plan of a service with three replicas of each shard.
func shardedService(name zlunit.Service, shards int, slots zlunit.Slots, connections zlunit.Connections) ServicePlan {
	return ServicePlan{
		Name:        name,
		Shards:      shards,
		Replicas:    3,
		Slots:       slots,
		Connections: connections,
		ConnectMs:   shardedConnectMs,
		ServiceMs:   serviceMs,
		ColdLimit:   coldLimit,
		ColdWork:    coldWork,
	}
}

// unshardedService returns the plan of a service whose upstreams hold the whole
// index as one shard.
func unshardedService(name zlunit.Service, replicas int, slots zlunit.Slots, connections zlunit.Connections) ServicePlan {
	return ServicePlan{
		Name:        name,
		Shards:      1,
		Replicas:    replicas,
		Slots:       slots,
		Connections: connections,
		ConnectMs:   unshardedConnectMs,
		ServiceMs:   serviceMs,
		ColdLimit:   coldLimit,
		ColdWork:    coldWork,
	}
}

// Guild returns the plan of the first user's deployment.
func Guild() Plan {
	return Plan{
		Deployment:  "guild",
		DataCentres: []zlunit.DataCentre{"nashua", "lowell", "worcester"},
		Daemons:     2,
		Services: []ServicePlan{
			shardedService("bench-desk", 10, 3, 30),
			shardedService("bore-library", 15, 3, 30),
			unshardedService("guild-rolls", 10, 6, 100),
			unshardedService("school-rentals", 4, 6, 100),
		},
	}
}

// Vaxjo returns the plan of the second user's deployment.
func Vaxjo() Plan {
	return Plan{
		Deployment:  "vaxjo",
		DataCentres: []zlunit.DataCentre{"press-hall", "drying-loft", "town-hall"},
		Daemons:     2,
		Services: []ServicePlan{
			shardedService("batch-tracer", 10, 2, 25),
			shardedService("pulp-ledger", 15, 2, 25),
			unshardedService("order-desk", 20, 2, 35),
			unshardedService("reprint-queue", 10, 2, 35),
		},
	}
}

// Small returns the plan of a deployment of three data centres with the given
// number of daemons in each, for runs with many faults.
func Small(daemons int) Plan {
	plan := Plan{
		Deployment:  "small",
		DataCentres: []zlunit.DataCentre{"press-hall", "drying-loft", "town-hall"},
		Daemons:     daemons,
		Services: []ServicePlan{
			shardedService("finder", 4, 3, 30),
			unshardedService("rolls", 3, 6, 100),
		},
	}
	// Makes requests to one upstream overlap even at a low rate.
	for i := range plan.Services {
		plan.Services[i].ServiceMs = 15
	}
	return plan
}

// PlanByName returns the plan with that deployment name, guild or vaxjo, or an error.
func PlanByName(name string) (Plan, error) {
	for _, p := range []Plan{Guild(), Vaxjo()} {
		if string(p.Deployment) == name {
			return p, nil
		}
	}
	return Plan{}, fmt.Errorf("unknown user %q; allowed are guild and vaxjo", name)
}
