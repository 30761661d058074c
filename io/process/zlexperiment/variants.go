package zlexperiment

import (
	"fmt"
	"slices"
	"strings"

	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/version/zlsettings"
)

// The names of the two variants that are part of every experiment.
const (
	VariantNaive = "naive"
	VariantTier  = "zinnialock"
)

// mechanisms holds, by name, the setting that disables each mechanism.
var mechanisms = map[string]zlcoordinator.Disabled{
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

// Mechanisms returns the sorted names of the mechanisms that can be disabled.
func Mechanisms() []string {
	var out []string
	for name := range mechanisms {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Variants returns the naive baseline, the tier and, for each name in without, the
// tier with that mechanism disabled. It fails for an unknown name.
func Variants(without []string) ([]Variant, error) {
	variants := []Variant{
		{
			Name:  VariantNaive,
			Naive: true,
		},
		{
			Name: VariantTier,
		},
	}
	for _, name := range without {
		disabled, ok := mechanisms[name]
		if !ok {
			return nil, fmt.Errorf("found mechanism %q, allowed are %s", name, strings.Join(Mechanisms(), ", "))
		}
		variants = append(variants, Variant{
			Name:     "without " + name,
			Disabled: disabled,
		})
	}
	return variants, nil
}

// EarlyAnswerVariant returns a variant whose query kinds accept the given coverage, from
// 0 to 1, once the duration after has passed.
func EarlyAnswerVariant(coverage float64, after string) Variant {
	return Variant{
		Name: fmt.Sprintf("coverage %v after %s", coverage, after),
		Settings: zlsettings.Node{
			zlsettings.KeyEnoughCoverage: coverage,
			zlsettings.KeyEnoughAfter:    after,
		},
	}
}
