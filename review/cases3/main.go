// Command cases3 plays the scripted cases of the third review: each starts daemons of a
// cell as processes beside stand-ins of the platform, and judges what clients, workers
// and the platform see.
//
// Usage: cases3 CASE RECORD
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "kind":
		err = runKind(r, trouble)
	case "crowd":
		err = runCrowd(r, trouble)
	case "gang":
		err = runGang(r, trouble)
	case "deadly":
		err = runDeadly(r, trouble, false)
	case "deadly-kills":
		err = runDeadly(r, trouble, true)
	case "due":
		err = runDue(r, trouble)
	default:
		err = fmt.Errorf("no case %q", os.Args[1])
	}
	status := r.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(status)
}
