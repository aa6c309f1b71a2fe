package routebench

import (
	"fmt"
	"io"
)

// Compare runs every way over the scenarios of make for each seed and writes
// one row for each way.
func Compare(w io.Writer, ways []Way, seeds int, scenario func(seed uint64) Scenario) error {
	ideal := TotalIdeal(seeds, scenario)
	if err := ideal.row(w, &ideal); err != nil {
		return err
	}
	for _, way := range ways {
		total := Total(way, seeds, scenario)
		if err := total.row(w, &ideal); err != nil {
			return err
		}
	}
	return nil
}

// TotalIdeal runs the ideal over several seeds.
func TotalIdeal(seeds int, scenario func(seed uint64) Scenario) Result {
	total := Result{Name: "ideal"}
	for seed := range seeds {
		total.Merge(scenario(uint64(seed + 1)).Ideal())
	}
	return total
}

// Total runs one way over several seeds.
func Total(way Way, seeds int, scenario func(seed uint64) Scenario) Result {
	total := Result{Name: way.Name}
	for seed := range seeds {
		total.Merge(scenario(uint64(seed + 1)).Run(way))
	}
	return total
}

func (r *Result) row(w io.Writer, ideal *Result) error {
	_, err := fmt.Fprintf(w, "| %s | %.3f (%.3f) | %.2f | %.2f (%.2f) | %.2f | %.3f |\n",
		r.Name, r.Mean(), r.Mean()/ideal.Mean(), r.Quantile(0.5),
		r.Quantile(0.99), r.Quantile(0.99)/ideal.Quantile(0.99), r.Quantile(0.999), r.PerRequest())
	return err
}
