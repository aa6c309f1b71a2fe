// Command routetable prints the comparison of the ways to choose a backend
// server that docs/design/requests.md shows.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/parsleyhill/parsleyhill/internal/decide/routebench"
)

func main() {
	seeds := flag.Int("seeds", 5, "runs of each setting")
	flag.Parse()
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, skew := range []float64{1, 3} {
			if err := compare(*seeds, load, skew); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
		}
	}
}

func compare(seeds int, load, skew float64) error {
	for name, deployment := range routebench.Deployments() {
		fmt.Printf("\n%s, load %v, callers %v:1\n\n", name, load, skew)
		scenario := func(seed uint64) routebench.Scenario { return deployment(load, skew, seed) }
		if err := routebench.Compare(os.Stdout, routebench.Ways(), seeds, scenario); err != nil {
			return err
		}
	}
	return nil
}
