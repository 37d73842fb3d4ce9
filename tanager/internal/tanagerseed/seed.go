// Package tanagerseed fixes the seed of randomised tests, which makes their results
// reproducible.
//
// # Usage
//
//	func TestSomething(t *testing.T) {
//		tanagerseed.Fix(t)
//		rapid.Check(t, ...)
//	}
//
// To use another seed, run TANAGER_SEED=N go test ./...
package tanagerseed

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is the seed of all randomised tests unless TANAGER_SEED is set.
const defaultSeed = "20261204"

// Fix sets the seed of package rapid to TANAGER_SEED, or to the default if that is
// not set, and logs it.
func Fix(t *testing.T) {
	value := defaultSeed
	if override := os.Getenv("TANAGER_SEED"); override != "" {
		value = override
	}
	if err := flag.Set("rapid.seed", value); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %s", value)
}
