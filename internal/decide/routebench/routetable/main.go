// Command routetable prints the comparison of the ways to choose a backend
// server that docs/design/requests.md shows.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/decide/routebench"
)

func main() {
	seeds := flag.Int("seeds", 5, "runs of each setting")
	only := flag.String("deployment", "", "print only the deployment of this name")
	way := flag.String("way", "", "print only ways whose name has this part")
	loads := flag.String("loads", "0.5,0.8,0.95", "loads, with commas")
	flag.Parse()
	if err := run(*seeds, *only, *way, *loads); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seeds int, only, way, loads string) error {
	var ways []routebench.Strategy
	for _, w := range routebench.Strategies() {
		if strings.Contains(w.Name, way) {
			ways = append(ways, w)
		}
	}
	for _, d := range routebench.Deployments() {
		if only != "" && d.Name != only {
			continue
		}
		for text := range strings.SplitSeq(loads, ",") {
			var load float64
			if _, err := fmt.Sscan(text, &load); err != nil {
				return fmt.Errorf("load %q: %w", text, err)
			}
			if err := compare(d, ways, seeds, load); err != nil {
				return err
			}
		}
	}
	return nil
}

// compare prints one table for each spread of callers.
func compare(d routebench.Deployment, ways []routebench.Strategy, seeds int, load float64) error {
	for _, skew := range []float64{1, 3} {
		fmt.Printf("\n%s, load %v, callers %v:1\n\n", d.Name, load, skew)
		scenario := func(seed uint64) routebench.Scenario { return d.Scenario(load, skew, seed) }
		if err := routebench.Compare(os.Stdout, ways, seeds, scenario); err != nil {
			return err
		}
	}
	return nil
}
