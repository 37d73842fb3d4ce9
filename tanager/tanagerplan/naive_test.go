package tanagerplan

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerconfig"
)

// TestSharesAgainstNaive compares the shares with a reference that gives one
// unit after the other to the branch with the least for its weight.
func TestSharesAgainstNaive(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		state := tanagerconfig.New()
		var uses []Use
		wanted := make(map[string]int)
		for i := range rapid.IntRange(1, 8).Draw(t, "branches") {
			name := fmt.Sprintf("b%d", i)
			state, _ = state.Apply(tanagerconfig.Intent{
				Kind:   tanagerconfig.SetBranch,
				Branch: name,
				Rules: &tanagerconfig.Rules{
					Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight")),
				},
			}, now)
			uses = append(uses, Use{
				Branch: name,
			})
			wanted[name] = rapid.IntRange(0, units).Draw(t, "demand")
		}
		got := shares(state, now, uses, func(u Use) int { return wanted[u.Branch] })
		held := make(map[string]int)
		for range units {
			best := ""
			for _, u := range uses {
				if held[u.Branch] == wanted[u.Branch] {
					continue
				}
				if best == "" || rank(state, held, u.Branch) < rank(state, held, best) {
					best = u.Branch
				}
			}
			if best == "" {
				break
			}
			held[best]++
		}
		for _, u := range uses {
			if want := float64(held[u.Branch]) / units; got[u.Branch] != want {
				t.Fatalf("%s gets %v, the reference gives %v", u.Branch, got[u.Branch], want)
			}
		}
	})
}

func rank(s tanagerconfig.State, held map[string]int, branch string) float64 {
	return float64(held[branch]) / units / s.Branches[branch].Rules.Weight
}
