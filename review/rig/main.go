// Command rig plays the cases of the review: it starts the project's program as
// separate processes, beside stand-ins for the platform's store, minions and clients
// that follow the users' pages, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(r *rig, trouble bool){
	"ends":   playEnds,
	"budget": playBudget,
	"cancel": playCancel,
	"stop":   playStop,
	"claim":  playClaim,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	dir, err := filepath.Abs(os.Args[2])
	must(err)
	root := filepath.Dir(filepath.Dir(dir))
	if _, err := os.Stat(filepath.Join(root, "target/parsleyhilld")); err != nil {
		fmt.Fprintln(os.Stderr, "rig: target/parsleyhilld is missing; build as the deploy file says")
		os.Exit(2)
	}
	r := newRig(root, dir)
	time.AfterFunc(115*time.Second, func() { r.finish(2, "the case did not end in time") })
	cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
}
