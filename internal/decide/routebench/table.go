package routebench

import (
	"fmt"
	"io"
)

// Compare runs every way over the scenarios of make for each seed and writes
// one row for each way.
func Compare(w io.Writer, ways []Strategy, seeds int, scenario func(seed uint64) Scenario) error {
	ideal := RunIdealSeeds(seeds, scenario)
	if err := ideal.row(w, &ideal); err != nil {
		return err
	}
	forwarding := totalOf(seeds, func(seed uint64) Result { return scenario(seed).RunForwarding() })
	if err := forwarding.row(w, &ideal); err != nil {
		return err
	}
	for _, way := range ways {
		total := RunSeeds(way, seeds, scenario)
		if err := total.row(w, &ideal); err != nil {
			return err
		}
	}
	return nil
}

// TotalIdeal runs the ideal over several seeds.
func RunIdealSeeds(seeds int, scenario func(seed uint64) Scenario) Result {
	return totalOf(seeds, func(seed uint64) Result { return scenario(seed).RunIdeal() })
}

// totalOf adds up the runs of seeds 1 and up.
func totalOf(seeds int, run func(seed uint64) Result) Result {
	var total Result
	for seed := range seeds {
		one := run(uint64(seed + 1))
		total.Name = one.Name
		total.Merge(one)
	}
	return total
}

// Total runs one way over several seeds.
func RunSeeds(way Strategy, seeds int, scenario func(seed uint64) Scenario) Result {
	return totalOf(seeds, func(seed uint64) Result { return scenario(seed).Run(way) })
}

func (r *Result) row(w io.Writer, ideal *Result) error {
	_, err := fmt.Fprintf(w, "| %s | %.3f (%.3f) | %.2f | %.2f (%.2f) | %.2f | %.3f |\n",
		r.Name, r.Mean(), r.Mean()/ideal.Mean(), r.Quantile(0.5),
		r.Quantile(0.99), r.Quantile(0.99)/ideal.Quantile(0.99), r.Quantile(0.999), r.MessagesPerRequest())
	return err
}
