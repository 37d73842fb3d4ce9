package tanagershare_test

import (
	"fmt"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
	"tanagersail.example/tanager/tanagershare"
)

// While both branches want more than the fleet has, a branch with twice the
// weight gets twice the tasks.
func ExampleBacklog_Round() {
	core := tanagerresource.Vector{
		CPU: 1000,
	}
	backlog := tanagershare.New[int](core.Scale(6))
	backlog.SetBranch("rosenheim", tanagershare.BranchSettings{
		Weight: 2,
	})
	backlog.SetBranch("augsburg", tanagershare.BranchSettings{
		Weight: 1,
	})
	for i := range 10 {
		backlog.Push("rosenheim", tanagerqueue.Normal, core, i)
		backlog.Push("augsburg", tanagerqueue.Normal, core, i)
	}
	free := 6
	backlog.Round(func(*tanagershare.Entry[int]) bool {
		free--
		return free >= 0
	})
	fmt.Println(backlog.Allocated("rosenheim").CPU/1000, backlog.Allocated("augsburg").CPU/1000)
	// Output: 4 2
}
