package tanagerplan

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerconfig"
)

// TestSharesMatchReference compares the simulated shares with a reference that
// gives one unit after the other to the branch with the lowest weighted share.
func TestSharesMatchReference(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		state := tanagerconfig.New()
		var usages []BranchUsage
		demand := make(map[string]int)
		for i := range rapid.IntRange(1, 8).Draw(t, "branches") {
			name := fmt.Sprintf("b%d", i)
			state, _ = state.Apply(tanagerconfig.Intent{
				Kind:   tanagerconfig.SetBranch,
				Branch: name,
				Rules: &tanagerconfig.Rules{
					Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight")),
				},
			}, now)
			usages = append(usages, BranchUsage{
				Branch: name,
			})
			demand[name] = rapid.IntRange(0, shareUnits).Draw(t, "demand")
		}
		got := simulateShares(state, now, usages, func(u BranchUsage) int { return demand[u.Branch] })
		allocated := make(map[string]int)
		for range shareUnits {
			chosen := ""
			for _, u := range usages {
				if allocated[u.Branch] == demand[u.Branch] {
					continue
				}
				if chosen == "" || weightedShare(state, allocated, u.Branch) < weightedShare(state, allocated, chosen) {
					chosen = u.Branch
				}
			}
			if chosen == "" {
				break
			}
			allocated[chosen]++
		}
		for _, u := range usages {
			if want := float64(allocated[u.Branch]) / shareUnits; got[u.Branch] != want {
				t.Fatalf("branch %s gets %v, reference gives %v", u.Branch, got[u.Branch], want)
			}
		}
	})
}

func weightedShare(state tanagerconfig.State, allocated map[string]int, branch string) float64 {
	return float64(allocated[branch]) / shareUnits / state.Branches[branch].Rules.Weight
}
