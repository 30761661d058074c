package zlexperiment

import (
	"fmt"
	"slices"
	"strings"

	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/version/zlsettings"
)

// The names of the two arms that stand in every experiment.
const (
	ArmNaive = "naive"
	ArmTier  = "zinnialock"
)

// switches holds what each mechanism's switch sets, by its name.
var switches = map[string]zlcoordinator.Disabled{
	"routing": {
		Routing: true,
	},
	"hedges": {
		Hedges: true,
	},
	"retries": {
		Retries: true,
	},
	"around": {
		Bypass: true,
	},
	"cancel": {
		Cancel: true,
	},
	"budgets": {
		Budgets: true,
	},
	"earlyEnd": {
		EarlyRefusal: true,
	},
}

// Switches lists the mechanisms that can be switched off.
func Switches() []string {
	var out []string
	for name := range switches {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Arms returns the naive version, the tier and, for each name in without, the
// tier without that mechanism.
func Arms(without []string) ([]Arm, error) {
	arms := []Arm{
		{
			Name:  ArmNaive,
			Naive: true,
		},
		{
			Name: ArmTier,
		},
	}
	for _, name := range without {
		w, ok := switches[name]
		if !ok {
			return nil, fmt.Errorf("found %q, allowed are %s", name, strings.Join(Switches(), ", "))
		}
		arms = append(arms, Arm{
			Name:    "without " + name,
			Without: w,
		})
	}
	return arms, nil
}

// Sooner returns an arm whose query kinds take less coverage sooner.
func Sooner(coverage float64, after string) Arm {
	return Arm{
		Name: fmt.Sprintf("coverage %v after %s", coverage, after),
		Settings: zlsettings.Node{
			zlsettings.KeyEnoughCoverage: coverage,
			zlsettings.KeyEnoughAfter:    after,
		},
	}
}
