package offer

import "slices"

// RunSet is a set of runs of one task, by their numbers in ascending order. The zero value is
// empty. An end may become known from its owner, from an inventory and from the log; in a set
// it counts once.
type RunSet []int

// Contains reports whether a run is in the set.
func (s RunSet) Contains(run int) bool {
	_, found := slices.BinarySearch(s, run)
	return found
}

// With returns the set with further runs. It does not change s.
func (s RunSet) With(runs ...int) RunSet {
	for _, run := range runs {
		if at, found := slices.BinarySearch(s, run); !found {
			s = slices.Insert(slices.Clone(s), at, run)
		}
	}
	return s
}
