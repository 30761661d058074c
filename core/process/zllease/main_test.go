package zllease

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets rapid's seed, checks and steps; `-rapid.seed`, `-rapid.checks`
// and `-rapid.steps` on the command line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "20")
	_ = flag.Set("rapid.steps", "25")
	flag.Parse()
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value, "checks", flag.Lookup("rapid.checks").Value, "steps", flag.Lookup("rapid.steps").Value)
	os.Exit(m.Run())
}
