package routebench

import (
	"fmt"
	"io"
)

// Compare runs the ideal, forwarding and every strategy on the scenarios of the
// given number of seeds and writes one table row for each.
func Compare(w io.Writer, strategies []Strategy, seeds int, scenario func(seed uint64) Scenario) error {
	ideal := RunIdealSeeds(seeds, scenario)
	if err := ideal.writeRow(w, &ideal); err != nil {
		return err
	}
	forwarding := mergeSeeds(seeds, func(seed uint64) Result { return scenario(seed).RunForwarding() })
	if err := forwarding.writeRow(w, &ideal); err != nil {
		return err
	}
	for _, strategy := range strategies {
		total := RunSeeds(strategy, seeds, scenario)
		if err := total.writeRow(w, &ideal); err != nil {
			return err
		}
	}
	return nil
}

// RunIdealSeeds runs the ideal queue on the scenarios of several seeds and merges
// the results.
func RunIdealSeeds(seeds int, scenario func(seed uint64) Scenario) Result {
	return mergeSeeds(seeds, func(seed uint64) Result { return scenario(seed).RunIdeal() })
}

// mergeSeeds merges the results of the runs with seeds 1 to seeds.
func mergeSeeds(seeds int, run func(seed uint64) Result) Result {
	var total Result
	for seed := range seeds {
		one := run(uint64(seed + 1))
		total.Name = one.Name
		total.Merge(one)
	}
	return total
}

// RunSeeds runs one strategy on the scenarios of several seeds and merges the
// results.
func RunSeeds(strategy Strategy, seeds int, scenario func(seed uint64) Scenario) Result {
	return mergeSeeds(seeds, func(seed uint64) Result { return scenario(seed).Run(strategy) })
}

func (r *Result) writeRow(w io.Writer, ideal *Result) error {
	_, err := fmt.Fprintf(w, "| %s | %.3f (%.3f) | %.2f | %.2f (%.2f) | %.2f | %.3f |\n",
		r.Name, r.Mean(), r.Mean()/ideal.Mean(), r.Quantile(0.5),
		r.Quantile(0.99), r.Quantile(0.99)/ideal.Quantile(0.99), r.Quantile(0.999), r.MessagesPerRequest())
	return err
}
