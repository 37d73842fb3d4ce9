// Package tanagerseed fixes the seed of randomised tests, so that every run of
// the tests gives the same verdict.
//
// # Usage
//
//	func TestSomething(t *testing.T) {
//		tanagerseed.Fix(t)
//		rapid.Check(t, ...)
//	}
//
// Another seed is tried with TANAGER_SEED=N go test ./...
package tanagerseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the seed of all randomised tests.
const seed = "20261204"

// Fix sets the seed of package rapid and prints it. A value of TANAGER_SEED
// replaces the fixed one.
func Fix(t *testing.T) {
	value := seed
	if other := os.Getenv("TANAGER_SEED"); other != "" {
		value = other
	}
	if err := flag.Set("rapid.seed", value); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %s", value)
}
