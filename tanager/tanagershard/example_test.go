package tanagershard_test

import (
	"fmt"

	"tanagersail.example/tanager/tanagershard"
)

// When a daemon is gone, the others take over its shards with a higher epoch.
// The daemon stays listed as unconfirmed.
func ExampleMap_TakeOver() {
	m := tanagershard.New(2, "d1")
	m, changed := m.TakeOver([]string{"d2", "d3"}, []string{"d2", "d3"})
	fmt.Println(changed)
	for _, a := range m.Shards {
		fmt.Println(a.Owner, a.Epoch, a.Unconfirmed)
	}
	// Output:
	// true
	// d2 2 [d1]
	// d3 2 [d1]
}
