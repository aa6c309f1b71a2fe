// Command routetable prints the comparison of strategies for choosing a backend
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
	seeds := flag.Int("seeds", 5, "number of runs of each scenario")
	deployment := flag.String("deployment", "", "print only the deployment with this name")
	strategy := flag.String("way", "", "print only strategies whose name contains this text")
	loads := flag.String("loads", "0.5,0.8,0.95", "comma-separated ratios of offered work to capacity")
	flag.Parse()
	if err := run(*seeds, *deployment, *strategy, *loads); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seeds int, deployment, strategy, loads string) error {
	var strategies []routebench.Strategy
	for _, s := range routebench.Strategies() {
		if strings.Contains(s.Name, strategy) {
			strategies = append(strategies, s)
		}
	}
	for _, d := range routebench.Deployments() {
		if deployment != "" && d.Name != deployment {
			continue
		}
		for text := range strings.SplitSeq(loads, ",") {
			var load float64
			if _, err := fmt.Sscan(text, &load); err != nil {
				return fmt.Errorf("load %q: %w", text, err)
			}
			if err := compare(d, strategies, seeds, load); err != nil {
				return err
			}
		}
	}
	return nil
}

// compare prints one table for each skew of the arrival rates.
func compare(d routebench.Deployment, strategies []routebench.Strategy, seeds int, load float64) error {
	for _, skew := range []float64{1, 3} {
		fmt.Printf("\n%s, load %v, callers %v:1\n\n", d.Name, load, skew)
		scenario := func(seed uint64) routebench.Scenario { return d.Scenario(load, skew, seed) }
		if err := routebench.Compare(os.Stdout, strategies, seeds, scenario); err != nil {
			return err
		}
	}
	return nil
}
