// Package zlscene sets up a whole scene in one process over loopback sockets:
// the platform and upstream stand-ins and the daemons of a user.
package zlscene

import (
	"fmt"

	"zinnialock/core/process/zlunit"
)

// ServicePlan describes the upstreams of one service.
type ServicePlan struct {
	Name        zlunit.Service
	Shards      int
	Replicas    int
	Slots       zlunit.Slots
	Connections zlunit.Connections
	ConnectMs   float64
	ServiceMs   float64
	ColdLimit   zlunit.Slots
	ColdWork    int
}

// UserPlan describes one user's deployment.
type UserPlan struct {
	Deployment  zlunit.Deployment
	DataCentres []zlunit.DataCentre
	// Daemons is how many entry VMs each data centre has.
	Daemons  int
	Services []ServicePlan
}

const (
	coldLimit    = 1
	coldWork     = 20
	serviceMs    = 2.0
	slowConnect  = 6.0
	quickConnect = 1.0
)

func sharded(name zlunit.Service, shards int, slots zlunit.Slots, connections zlunit.Connections) ServicePlan {
	return ServicePlan{
		Name:        name,
		Shards:      shards,
		Replicas:    3,
		Slots:       slots,
		Connections: connections,
		ConnectMs:   slowConnect,
		ServiceMs:   serviceMs,
		ColdLimit:   coldLimit,
		ColdWork:    coldWork,
	}
}

func whole(name zlunit.Service, replicas int, slots zlunit.Slots, connections zlunit.Connections) ServicePlan {
	return ServicePlan{
		Name:        name,
		Shards:      1,
		Replicas:    replicas,
		Slots:       slots,
		Connections: connections,
		ConnectMs:   quickConnect,
		ServiceMs:   serviceMs,
		ColdLimit:   coldLimit,
		ColdWork:    coldWork,
	}
}

// Guild is the first user's deployment as it is today.
func Guild() UserPlan {
	return UserPlan{
		Deployment:  "guild",
		DataCentres: []zlunit.DataCentre{"nashua", "lowell", "worcester"},
		Daemons:     2,
		Services: []ServicePlan{
			sharded("bench-desk", 10, 3, 30),
			sharded("bore-library", 15, 3, 30),
			whole("guild-rolls", 10, 6, 100),
			whole("school-rentals", 4, 6, 100),
		},
	}
}

// Vaxjo is the second user's deployment as it is today.
func Vaxjo() UserPlan {
	return UserPlan{
		Deployment:  "vaxjo",
		DataCentres: []zlunit.DataCentre{"press-hall", "drying-loft", "town-hall"},
		Daemons:     2,
		Services: []ServicePlan{
			sharded("batch-tracer", 10, 2, 25),
			sharded("pulp-ledger", 15, 2, 25),
			whole("order-desk", 20, 2, 35),
			whole("reprint-queue", 10, 2, 35),
		},
	}
}

// Small is a deployment of three data centres with so many daemons in each, for
// runs with many faults.
func Small(daemons int) UserPlan {
	plan := UserPlan{
		Deployment:  "small",
		DataCentres: []zlunit.DataCentre{"press-hall", "drying-loft", "town-hall"},
		Daemons:     daemons,
		Services: []ServicePlan{
			sharded("finder", 4, 3, 30),
			whole("rolls", 3, 6, 100),
		},
	}
	// Long enough that requests to one upstream overlap at a low rate.
	for i := range plan.Services {
		plan.Services[i].ServiceMs = 15
	}
	return plan
}

// Users finds a plan by its deployment's name.
func Users(name string) (UserPlan, error) {
	for _, p := range []UserPlan{Guild(), Vaxjo()} {
		if string(p.Deployment) == name {
			return p, nil
		}
	}
	return UserPlan{}, fmt.Errorf("found user %q, allowed is guild or vaxjo", name)
}
